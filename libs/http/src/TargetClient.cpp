#include <http/TargetClient.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <http/HttpText.h>
#include <http/TcpStream.h>

namespace papayaway {

namespace {

constexpr Millis kSweepPeriod = Seconds(1);

/** @return the seconds of "timeout=N" in a Keep-Alive field, or 0. */
int
KeepAliveSeconds(std::string_view aField)
{
  constexpr std::string_view kKey = "timeout=";
  const std::size_t at = aField.find(kKey);
  int seconds = 0;
  if (at != std::string_view::npos) {
    const std::string_view digits = aField.substr(at + kKey.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  }
  return seconds;
}

} // namespace

struct TargetClient::Impl
{
  struct Connection
  {
    std::string mAddress;
    std::shared_ptr<TcpStream> mStream;
    std::unique_ptr<MessageParser> mParser;
    std::unique_ptr<Timer> mConnectTimer;
    CallId mCall = 0;
    std::string mRequestId;
    Callback mCallback;
    bool mReused = false;
    bool mConnected = false;
    /** Something came that was not the answer: not used again. */
    bool mSpoilt = false;
    bool mDone = false;
    HttpMessage mAnswer;
    Millis mIdleUntil;
    /** When the last call on it ended and the current one began. */
    Millis mIdleSince;
    Millis mSentAt;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  EventLoop& mLoop;
  TargetClientOptions mOptions;
  CallId mNextId = 1;
  std::uint64_t mOpened = 0;
  std::unordered_map<CallId, ConnectionPtr> mBusy;
  std::vector<ConnectionPtr> mIdle;
  /** The idle time that the target was last found to forget connections
   *  after, and when. */
  std::optional<Millis> mForgotAfter;
  Millis mForgotAt;
  Timer mSweep;

  Impl(EventLoop& aLoop, TargetClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mSweep(aLoop, [this] { DropExpired(SteadyNow()); })
  {
    mSweep.StartRepeating(kSweepPeriod);
  }

  ~Impl()
  {
    for (const auto& [id, connection] : mBusy) {
      connection->mStream->Close();
    }
    CloseIdle();
  }

  void CloseIdle()
  {
    for (const ConnectionPtr& connection : mIdle) {
      connection->mStream->Close();
    }
    mIdle.clear();
  }

  /** Learns from a kept connection that was reset. */
  void OnForgotten(const Connection& aConnection, Millis aNow)
  {
    if (!aConnection.mReused ||
        aNow - aConnection.mSentAt > mOptions.mForgottenWithin) {
      return;
    }
    const Millis idle = aConnection.mSentAt - aConnection.mIdleSince;
    mForgotAfter = std::min(mForgotAfter.value_or(idle), idle);
    mForgotAt = aNow;
  }

  void DropExpired(Millis aNow)
  {
    if (mForgotAfter && aNow - mForgotAt > mOptions.mForgottenMemory) {
      mForgotAfter.reset();
    }
    std::erase_if(mIdle, [&](const ConnectionPtr& aConnection) {
      const bool forgotten =
        mForgotAfter && aNow - aConnection->mIdleSince >=
                          std::max(*mForgotAfter * mOptions.mForgottenPart,
                                   mOptions.mLeastIdle);
      const bool expired = forgotten || aConnection->mIdleUntil <= aNow;
      if (expired) {
        aConnection->mStream->Close();
      }
      return expired;
    });
  }

  /** Takes the connection that was used last: the others may then expire. */
  ConnectionPtr TakeIdle(const std::string& aAddress)
  {
    DropExpired(SteadyNow());
    for (auto it = mIdle.rbegin(); it != mIdle.rend(); ++it) {
      if ((*it)->mAddress == aAddress) {
        ConnectionPtr connection = std::move(*it);
        mIdle.erase(std::next(it).base());
        connection->mReused = true;
        return connection;
      }
    }
    return nullptr;
  }

  ConnectionPtr Open(const std::string& aAddress)
  {
    auto connection = std::make_shared<Connection>();
    connection->mAddress = aAddress;
    connection->mStream = TcpStream::Connect(mLoop, aAddress);
    ++mOpened;
    const std::weak_ptr<Connection> weak = connection;
    connection->mParser = std::make_unique<MessageParser>(
      MessageParser::Kind::Response,
      ParserLimits{},
      [this, weak](HttpMessage aMessage) {
        const ConnectionPtr strong = weak.lock();
        return strong && OnMessage(*strong, std::move(aMessage));
      });
    connection->mConnectTimer = std::make_unique<Timer>(mLoop, [this, weak] {
      if (const ConnectionPtr strong = weak.lock()) {
        Fail(strong, TargetEnd::NotConnected);
      }
    });
    connection->mConnectTimer->StartOnce(mOptions.mConnectTimeout);
    connection->mStream->Start(
      { .mConnected =
          [weak] {
            if (const ConnectionPtr strong = weak.lock()) {
              strong->mConnected = true;
              strong->mConnectTimer->Stop();
            }
          },
        .mBytes =
          [this, weak](std::string_view aBytes) {
            if (const ConnectionPtr strong = weak.lock()) {
              OnBytes(strong, aBytes);
            }
          },
        .mEnded =
          [this, weak](bool aOrderly) {
            if (const ConnectionPtr strong = weak.lock()) {
              OnEnded(strong, aOrderly);
            }
          } });
    return connection;
  }

  bool OnMessage(Connection& aConnection, HttpMessage aMessage)
  {
    if (aMessage.mStatus < 200) {
      return true;
    }
    if (aConnection.mCall == 0 ||
        !mOptions.mAnswers(aMessage, aConnection.mRequestId)) {
      aConnection.mSpoilt = true;
      return true;
    }
    aConnection.mDone = true;
    aConnection.mAnswer = std::move(aMessage);
    return false;
  }

  void OnBytes(const ConnectionPtr& aConnection, std::string_view aBytes)
  {
    if (aConnection->mCall == 0) {
      // Bytes without a request belong to no call.
      aConnection->mStream->Close();
      std::erase(mIdle, aConnection);
      return;
    }
    const std::size_t consumed = aConnection->mParser->Feed(aBytes);
    if (aConnection->mDone) {
      const bool more = consumed < aBytes.size();
      Finish(aConnection, !more);
    } else if (aConnection->mParser->Failure() != ParseFailure::None) {
      Fail(aConnection, TargetEnd::Lost);
    }
  }

  void OnEnded(const ConnectionPtr& aConnection, bool aOrderly)
  {
    if (aConnection->mCall == 0) {
      std::erase(mIdle, aConnection);
      return;
    }
    if (!aConnection->mConnected) {
      Fail(aConnection, TargetEnd::NotConnected);
      return;
    }
    if (aOrderly) {
      aConnection->mParser->FeedEnd();
      if (aConnection->mDone) {
        Finish(aConnection, false);
        return;
      }
    }
    OnForgotten(*aConnection, SteadyNow());
    Fail(aConnection, TargetEnd::Lost);
  }

  void Finish(const ConnectionPtr& aConnection, bool aReusable)
  {
    const bool keep =
      aReusable && !aConnection->mSpoilt && aConnection->mAnswer.mKeepAlive &&
      aConnection->mStream->Unsent() == 0 && mIdle.size() < mOptions.mMaxIdle;
    TargetResult result{ .mEnd = TargetEnd::Answered,
                         .mResponse = std::move(aConnection->mAnswer),
                         .mReusedConnection = aConnection->mReused };
    const Callback callback = std::move(aConnection->mCallback);
    mBusy.erase(aConnection->mCall);
    aConnection->mCall = 0;
    aConnection->mDone = false;
    aConnection->mAnswer = {};
    if (keep) {
      const int seconds =
        KeepAliveSeconds(result.mResponse.mHeaders.Value("Keep-Alive"));
      aConnection->mIdleUntil =
        SteadyNow() + (seconds > 0 ? Seconds(seconds) * mOptions.mKeepAlivePart
                                   : mOptions.mIdleLimit);
      aConnection->mIdleSince = SteadyNow();
      mIdle.push_back(aConnection);
    } else {
      aConnection->mStream->Close();
    }
    callback(std::move(result));
  }

  void Fail(const ConnectionPtr& aConnection, TargetEnd aEnd)
  {
    aConnection->mStream->Close();
    aConnection->mConnectTimer->Stop();
    if (aConnection->mCall == 0) {
      return;
    }
    const Callback callback = std::move(aConnection->mCallback);
    mBusy.erase(aConnection->mCall);
    aConnection->mCall = 0;
    // Keeps the connection, whose timer may be running this, to the next
    // iteration.
    mLoop.Defer([aConnection] {});
    callback({ .mEnd = aEnd, .mReusedConnection = aConnection->mReused });
  }
};

TargetClient::TargetClient(EventLoop& aLoop, TargetClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aOptions)))
{
}

TargetClient::~TargetClient() = default;

TargetClient::CallId
TargetClient::Send(const TargetRequest& aRequest, Callback aCallback)
{
  Impl::ConnectionPtr connection = mImpl->TakeIdle(aRequest.mAddress);
  if (!connection) {
    connection = mImpl->Open(aRequest.mAddress);
  }
  const CallId id = mImpl->mNextId++;
  connection->mCall = id;
  connection->mRequestId = aRequest.mRequestId;
  connection->mSentAt = SteadyNow();
  connection->mCallback = std::move(aCallback);
  connection->mParser->ExpectNoBody(aRequest.mMessage.mMethod == "HEAD");
  mImpl->mBusy.emplace(id, connection);
  connection->mStream->Write(RequestText(aRequest.mMessage));
  return id;
}

void
TargetClient::Cancel(CallId aId)
{
  const auto found = mImpl->mBusy.find(aId);
  if (found == mImpl->mBusy.end()) {
    return;
  }
  const Impl::ConnectionPtr connection = found->second;
  mImpl->mBusy.erase(found);
  connection->mCall = 0;
  connection->mStream->Close();
  connection->mConnectTimer->Stop();
}

void
TargetClient::CloseIdle()
{
  mImpl->CloseIdle();
}

std::uint64_t
TargetClient::Opened() const
{
  return mImpl->mOpened;
}

} // namespace papayaway
