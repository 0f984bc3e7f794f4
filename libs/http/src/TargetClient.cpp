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

/** @return N from "timeout=N" in the value of a Keep-Alive field, or 0. */
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
    CallId mCallId = 0;
    std::string mRequestId;
    Callback mCallback;
    bool mReused = false;
    bool mConnected = false;
    /** A response that does not match the request was received, so the
     *  connection is closed after the current call. */
    bool mUnexpectedResponse = false;
    bool mResponseComplete = false;
    /** Number of bytes received during the current call. */
    std::size_t mReceivedBytes = 0;
    HttpMessage mReceivedResponse;
    Millis mIdleUntil;
    /** When the previous call on this connection ended. */
    Millis mIdleSince;
    /** When the current call began. */
    Millis mSentAt;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  EventLoop& mLoop;
  TargetClientOptions mOptions;
  CallId mNextId = 1;
  std::uint64_t mOpened = 0;
  std::unordered_map<CallId, ConnectionPtr> mBusy;
  std::vector<ConnectionPtr> mIdle;
  /** Shortest idle time of a stale connection within mStaleObservationTtl, and
   *  when the last stale connection was found. */
  std::optional<Millis> mStaleIdleTime;
  Millis mStaleFoundAt;
  Timer mSweepTimer;

  Impl(EventLoop& aLoop, TargetClientOptions aOptions)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mSweepTimer(aLoop, [this] { CloseExpired(SteadyNow()); })
  {
    mSweepTimer.StartRepeating(kSweepPeriod);
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

  /** Records the idle time of a reused connection that ended so soon after its
   *  request that it counts as stale. */
  void RecordIfStale(const Connection& aConnection, Millis aNow)
  {
    if (!aConnection.mReused ||
        aNow - aConnection.mSentAt > mOptions.mStaleDetectionWindow) {
      return;
    }
    const Millis idle = aConnection.mSentAt - aConnection.mIdleSince;
    mStaleIdleTime = std::min(mStaleIdleTime.value_or(idle), idle);
    mStaleFoundAt = aNow;
  }

  void CloseExpired(Millis aNow)
  {
    if (mStaleIdleTime &&
        aNow - mStaleFoundAt > mOptions.mStaleObservationTtl) {
      mStaleIdleTime.reset();
    }
    std::erase_if(mIdle, [&](const ConnectionPtr& aConnection) {
      const bool stale =
        mStaleIdleTime &&
        aNow - aConnection->mIdleSince >=
          std::max(*mStaleIdleTime * mOptions.mStaleIdleFraction,
                   mOptions.mMinIdleLimit);
      const bool expired = stale || aConnection->mIdleUntil <= aNow;
      if (expired) {
        aConnection->mStream->Close();
      }
      return expired;
    });
  }

  /** Removes the most recently used connection from the pool, so that the
   *  others can expire.
   *  @return the connection, or null if none to aAddress is idle. */
  ConnectionPtr TakeIdle(const std::string& aAddress)
  {
    CloseExpired(SteadyNow());
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
      mOptions.mResponseLimits,
      [this, weak](HttpMessage aMessage) {
        const ConnectionPtr strong = weak.lock();
        return strong && OnMessage(*strong, std::move(aMessage));
      });
    connection->mConnectTimer = std::make_unique<Timer>(mLoop, [this, weak] {
      if (const ConnectionPtr strong = weak.lock()) {
        Fail(strong, TargetOutcome::NotConnected);
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
        .mReceived =
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
          } },
      { .mReadsAfterFailedWrite = true });
    return connection;
  }

  bool OnMessage(Connection& aConnection, HttpMessage aMessage)
  {
    if (aMessage.mStatus < 200) {
      return true;
    }
    if (aConnection.mCallId == 0 ||
        !mOptions.mMatchesRequest(aMessage, aConnection.mRequestId)) {
      aConnection.mUnexpectedResponse = true;
      return true;
    }
    aConnection.mResponseComplete = true;
    aConnection.mReceivedResponse = std::move(aMessage);
    return false;
  }

  void OnBytes(const ConnectionPtr& aConnection, std::string_view aBytes)
  {
    if (aConnection->mCallId == 0) {
      // Bytes received without a request can't be matched to a call.
      aConnection->mStream->Close();
      std::erase(mIdle, aConnection);
      return;
    }
    aConnection->mReceivedBytes += aBytes.size();
    const std::size_t consumed = aConnection->mParser->Feed(aBytes);
    if (aConnection->mResponseComplete) {
      const bool hasExtraBytes = consumed < aBytes.size();
      Finish(aConnection, !hasExtraBytes);
    } else if (aConnection->mParser->Failure() == ParseFailure::Malformed) {
      Fail(aConnection, TargetOutcome::ConnectionLost, LossCause::Malformed);
    } else if (aConnection->mParser->Failure() != ParseFailure::None ||
               aConnection->mReceivedBytes > mOptions.mMaxReceivedBytes) {
      Fail(aConnection, TargetOutcome::ConnectionLost, LossCause::TooLarge);
    }
  }

  void OnEnded(const ConnectionPtr& aConnection, bool aOrderly)
  {
    if (aConnection->mCallId == 0) {
      std::erase(mIdle, aConnection);
      return;
    }
    if (!aConnection->mConnected) {
      Fail(aConnection, TargetOutcome::NotConnected);
      return;
    }
    if (aOrderly) {
      aConnection->mParser->FeedEnd();
      if (aConnection->mResponseComplete) {
        Finish(aConnection, false);
        return;
      }
    }
    RecordIfStale(*aConnection, SteadyNow());
    Fail(aConnection,
         TargetOutcome::ConnectionLost,
         aOrderly ? LossCause::Closed : LossCause::Reset);
  }

  void Finish(const ConnectionPtr& aConnection, bool aReusable)
  {
    const bool keepOpen = aReusable && !aConnection->mUnexpectedResponse &&
                          aConnection->mReceivedResponse.mKeepAlive &&
                          aConnection->mStream->UnsentBytes() == 0 &&
                          mIdle.size() < mOptions.mMaxIdleConnections;
    TargetResult result{ .mOutcome = TargetOutcome::Answered,
                         .mResponse = std::move(aConnection->mReceivedResponse),
                         .mReusedConnection = aConnection->mReused };
    const Callback callback = std::move(aConnection->mCallback);
    mBusy.erase(aConnection->mCallId);
    aConnection->mCallId = 0;
    aConnection->mResponseComplete = false;
    aConnection->mReceivedResponse = {};
    if (keepOpen) {
      const int seconds =
        KeepAliveSeconds(result.mResponse.mHeaders.Value("Keep-Alive"));
      aConnection->mIdleUntil =
        SteadyNow() + (seconds > 0
                         ? Seconds(seconds) * mOptions.mKeepAliveFraction
                         : mOptions.mDefaultIdleTimeout);
      aConnection->mIdleSince = SteadyNow();
      mIdle.push_back(aConnection);
    } else {
      aConnection->mStream->Close();
    }
    callback(std::move(result));
  }

  void Fail(const ConnectionPtr& aConnection,
            TargetOutcome aOutcome,
            LossCause aLossCause = LossCause::Closed)
  {
    aConnection->mStream->Close();
    aConnection->mConnectTimer->Stop();
    if (aConnection->mCallId == 0) {
      return;
    }
    const Callback callback = std::move(aConnection->mCallback);
    mBusy.erase(aConnection->mCallId);
    aConnection->mCallId = 0;
    // Keeps the connection alive until the deferred callbacks run: the caller
    // may be the callback of its timer.
    mLoop.Defer([aConnection] {});
    callback({ .mOutcome = aOutcome,
               .mLossCause = aLossCause,
               .mReusedConnection = aConnection->mReused });
  }
};

const char*
ToString(LossCause aCause)
{
  switch (aCause) {
    case LossCause::Closed:
      return "connection_closed";
    case LossCause::Reset:
      return "connection_reset";
    case LossCause::Malformed:
      return "malformed_response";
    case LossCause::TooLarge:
      return "response_too_large";
  }
  return "unknown";
}

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
  connection->mCallId = id;
  connection->mRequestId = aRequest.mRequestId;
  connection->mSentAt = SteadyNow();
  connection->mReceivedBytes = 0;
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
  connection->mCallId = 0;
  connection->mStream->Close();
  connection->mConnectTimer->Stop();
}

void
TargetClient::CloseIdle()
{
  mImpl->CloseIdle();
}

std::uint64_t
TargetClient::ConnectionsOpened() const
{
  return mImpl->mOpened;
}

} // namespace papayaway
