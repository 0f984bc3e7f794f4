#include <http/CallerServer.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include <http/HttpText.h>
#include <http/TcpStream.h>

namespace papayaway {

namespace {

/** Number of requests waiting on one connection at which further input is held
 *  unparsed. */
constexpr std::size_t kMaxWaitingRequests = 32;
/** Amount of held input of one connection at which reading pauses. */
constexpr std::size_t kMaxHeldBytes = std::size_t{ 64 } << 10;
/** Half of the file descriptors available on a small host. */
constexpr std::size_t kMaxConnections = 2000;
/** How long a caller may take to close a connection after it was sent the end
 *  of the stream. */
constexpr Millis kCloseTimeout = Seconds(1);
/** Interval at which the timeouts of connections are checked. */
constexpr Millis kSweepPeriod{ 500 };

int
StatusOf(ParseFailure aFailure)
{
  switch (aFailure) {
    case ParseFailure::HeadersTooLarge:
      return 431;
    case ParseFailure::BodyTooLarge:
      return 413;
    case ParseFailure::None:
    case ParseFailure::Malformed:
      break;
  }
  return 400;
}

} // namespace

bool
CallerLimits::operator==(const CallerLimits& aOther) const
{
  return mSizes.mMaxHeaderBytes == aOther.mSizes.mMaxHeaderBytes &&
         mSizes.mMaxBodyBytes == aOther.mSizes.mMaxBodyBytes &&
         mHeaderTimeout == aOther.mHeaderTimeout &&
         mIdleTimeout == aOther.mIdleTimeout;
}

struct CallerServer::Impl
{
  EventLoop& mLoop;
  CallerLimits mLimits;
  Handler mHandler;
  std::unique_ptr<TcpListener> mListener;
  std::string mAddress;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> mConnections;
  Timer mSweepTimer;
  bool mCloseAfterResponses = false;
  std::size_t mInFlight = 0;
  std::uint64_t mReadingPauses = 0;

  Impl(EventLoop& aLoop, const CallerLimits& aLimits, Handler aHandler)
    : mLoop(aLoop)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
    , mSweepTimer(aLoop, [this] { CheckAllTimeouts(); })
  {
  }

  void Accept(std::shared_ptr<TcpStream> aStream);
  void CheckAllTimeouts();
  void CloseConnections(bool aIncludeBusy);
  [[nodiscard]] std::size_t Unfinished() const;
};

class CallerServer::Connection
  : public std::enable_shared_from_this<CallerServer::Connection>
{
public:
  Connection(Impl& aServer, std::shared_ptr<TcpStream> aStream)
    : mServer(&aServer)
    , mStream(std::move(aStream))
    , mParser(
        MessageParser::Kind::Request,
        aServer.mLimits.mSizes,
        [this](HttpMessage aMessage) { return OnMessage(std::move(aMessage)); })
    , mLastActivity(SteadyNow())
  {
    mParser.OnHeaders([this](const HttpMessage& aMessage) {
      if (EqualIgnoringCase(aMessage.mHeaders.Value("Expect"),
                            "100-continue") &&
          mWaiting.empty()) {
        mStream->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    });
  }

  void Start()
  {
    mStream->Start(
      { .mReceived = [this](std::string_view aBytes) { OnBytes(aBytes); },
        .mEnded = [this](bool) { End(); } },
      { .mReadsUntilEmpty = true });
  }

  /** Closes the connection or responds 408 if a timeout has passed. */
  void CheckTimeouts(Millis aNow, const CallerLimits& aLimits)
  {
    const Millis lastWrite = mStream->LastProgress();
    if (mClosing) {
      const bool written = mStream->UnsentBytes() == 0;
      if (aNow - lastWrite > (written ? kCloseTimeout : aLimits.mIdleTimeout)) {
        End();
      }
      return;
    }
    if (mParser.InMessage()) {
      const bool timedOut = mParser.InHeaders()
                              ? aNow - mMessageBegan > aLimits.mHeaderTimeout
                              : aNow - mLastActivity > aLimits.mIdleTimeout;
      if (timedOut && !mIgnoringInput) {
        RejectRemainingInput(408);
      }
      return;
    }
    if (mWaiting.empty() &&
        aNow - std::max(mLastActivity, lastWrite) > aLimits.mIdleTimeout) {
      End();
    }
  }

  [[nodiscard]] bool Idle() const
  {
    return mWaiting.empty() && !mParser.InMessage() && !mClosing;
  }

  /** @return whether the end of a response has not reached the caller as far as
   *    is known. */
  [[nodiscard]] bool Unfinished() const
  {
    return mClosing || mStream->UnsentBytes() > 0;
  }

  /** Closes the connection and runs the OnAbandoned() callbacks of the waiting
   *  requests. */
  void End()
  {
    if (mServer == nullptr) {
      return;
    }
    const std::shared_ptr<Connection> self = shared_from_this();
    Impl& server = *std::exchange(mServer, nullptr);
    mStream->Close();
    Abandon(server);
    server.mConnections.erase(this);
    // A callback of the parser may be running, so destruction is deferred.
    server.mLoop.Defer([self] {});
  }

  /** Ends the connection after its last response. It stays in the server's list
   *  until the caller has read everything and closed it. */
  void CloseWhenWritten()
  {
    mClosing = true;
    mIgnoringInput = true;
    Abandon(*mServer);
    mStream->CloseWhenWritten();
  }

private:
  struct Exchange : CallerExchange
  {
    std::weak_ptr<Connection> mConnection;
    HttpMessage mRequest;
    std::function<void()> mOnAbandoned;
    CallerResponse mResponse;
    bool mReady = false;
    bool mClose = false;

    [[nodiscard]] const HttpMessage& Request() const override
    {
      return mRequest;
    }

    void Respond(CallerResponse aResponse) override
    {
      const std::shared_ptr<Connection> connection = mConnection.lock();
      if (connection && !mReady) {
        connection->OnResponse(*this, std::move(aResponse));
      }
    }

    void OnAbandoned(std::function<void()> aCallback) override
    {
      mOnAbandoned = std::move(aCallback);
    }
  };

  void Abandon(Impl& aServer)
  {
    mUnhandled.clear();
    mHeldInput.clear();
    while (!mWaiting.empty()) {
      const std::shared_ptr<Exchange> exchange = std::move(mWaiting.front());
      mWaiting.pop_front();
      --aServer.mInFlight;
      exchange->mConnection.reset();
      if (!exchange->mReady && exchange->mOnAbandoned) {
        exchange->mOnAbandoned();
      }
    }
  }

  void OnBytes(std::string_view aBytes)
  {
    mLastActivity = SteadyNow();
    // During a stop, the connection ends after the requests that wait on it.
    // Callers send again what comes behind them, since it was not read.
    if (mIgnoringInput ||
        (mServer->mCloseAfterResponses && !mWaiting.empty())) {
      return;
    }
    if (mWaiting.size() < kMaxWaitingRequests && mHeldInput.empty()) {
      Parse(aBytes);
    } else {
      Hold(aBytes);
    }
  }

  void Parse(std::string_view aBytes)
  {
    const std::shared_ptr<Connection> self = shared_from_this();
    if (!mParser.InMessage()) {
      mMessageBegan = mLastActivity;
      mParser.SetLimits(mServer->mLimits.mSizes);
    }
    const std::size_t consumed = mParser.Feed(aBytes);
    if (mServer == nullptr || mIgnoringInput) {
      return;
    }
    if (mParser.Failure() != ParseFailure::None) {
      RejectRemainingInput(StatusOf(mParser.Failure()));
    } else if (consumed < aBytes.size()) {
      Hold(aBytes.substr(consumed));
    }
  }

  void Hold(std::string_view aBytes)
  {
    mHeldInput += aBytes;
    if (mHeldInput.size() >= kMaxHeldBytes) {
      mStream->SetReading(false);
      ++mServer->mReadingPauses;
    }
  }

  void ParseHeld()
  {
    if (mServer == nullptr || mIgnoringInput || mHeldInput.empty() ||
        mServer->mCloseAfterResponses ||
        mWaiting.size() >= kMaxWaitingRequests) {
      return;
    }
    const std::string input = std::exchange(mHeldInput, {});
    Parse(input);
    if (mServer != nullptr && mHeldInput.size() < kMaxHeldBytes) {
      mStream->SetReading(true);
    }
  }

  void HandleRequests()
  {
    while (!mUnhandled.empty()) {
      const std::shared_ptr<Exchange> exchange = std::move(mUnhandled.front());
      mUnhandled.pop_front();
      mServer->mHandler(exchange);
    }
  }

  bool OnMessage(HttpMessage aMessage)
  {
    auto exchange = std::make_shared<Exchange>();
    exchange->mConnection = weak_from_this();
    exchange->mClose = !aMessage.mKeepAlive;
    exchange->mRequest = std::move(aMessage);
    mMessageBegan = mLastActivity;
    mWaiting.push_back(exchange);
    ++mServer->mInFlight;
    mIgnoringInput = exchange->mClose;
    if (mUnhandled.empty()) {
      mServer->mLoop.Defer(
        [self = shared_from_this()] { self->HandleRequests(); });
    }
    mUnhandled.push_back(exchange);
    return !mIgnoringInput && mWaiting.size() < kMaxWaitingRequests;
  }

  /** Ignores further input and queues an error response after the responses
   *  to earlier requests; the connection is then closed. */
  void RejectRemainingInput(int aStatus)
  {
    mIgnoringInput = true;
    auto exchange = std::make_shared<Exchange>();
    exchange->mConnection = weak_from_this();
    exchange->mClose = true;
    mWaiting.push_back(exchange);
    ++mServer->mInFlight;
    exchange->Respond({ .mStatus = aStatus, .mClose = true });
  }

  void OnResponse(Exchange& aExchange, CallerResponse aResponse)
  {
    aExchange.mClose = aExchange.mClose || aResponse.mClose;
    aExchange.mResponse = std::move(aResponse);
    aExchange.mReady = true;
    WriteReadyResponses();
  }

  /** Writes the responses that are ready, in the order of the requests. */
  void WriteReadyResponses()
  {
    const std::shared_ptr<Connection> self = shared_from_this();
    while (mServer != nullptr && !mWaiting.empty() &&
           mWaiting.front()->mReady) {
      const std::shared_ptr<Exchange> exchange = std::move(mWaiting.front());
      mWaiting.pop_front();
      --mServer->mInFlight;
      mLastActivity = SteadyNow();
      // During a stop, requests that were handed over before are answered
      // first.
      const bool close =
        exchange->mClose || (mServer->mCloseAfterResponses && mWaiting.empty());
      mStream->Write(
        ResponseText({ .mStatus = exchange->mResponse.mStatus,
                       .mHeaders = std::move(exchange->mResponse.mHeaders),
                       .mBody = std::move(exchange->mResponse.mBody) },
                     close,
                     exchange->mRequest.mMethod == "HEAD"));
      if (close) {
        CloseWhenWritten();
        return;
      }
    }
    if (mServer != nullptr && !mHeldInput.empty()) {
      mServer->mLoop.Defer([self] { self->ParseHeld(); });
    }
  }

  Impl* mServer;
  std::shared_ptr<TcpStream> mStream;
  MessageParser mParser;
  /** Requests without a written response, in the order of arrival. */
  std::deque<std::shared_ptr<Exchange>> mWaiting;
  /** Those that have not been passed to the handler. */
  std::deque<std::shared_ptr<Exchange>> mUnhandled;
  /** Input that was received while too many requests waited. */
  std::string mHeldInput;
  Millis mLastActivity;
  Millis mMessageBegan;
  /** Whether further bytes of the caller are ignored. */
  bool mIgnoringInput = false;
  /** Whether the connection ends once all responses are written. */
  bool mClosing = false;
};

void
CallerServer::Impl::Accept(std::shared_ptr<TcpStream> aStream)
{
  if (mConnections.size() >= kMaxConnections) {
    aStream->Close();
    return;
  }
  auto connection = std::make_shared<Connection>(*this, std::move(aStream));
  mConnections.emplace(connection.get(), connection);
  connection->Start();
}

void
CallerServer::Impl::CheckAllTimeouts()
{
  const Millis now = SteadyNow();
  std::vector<std::shared_ptr<Connection>> connections;
  connections.reserve(mConnections.size());
  for (const auto& entry : mConnections) {
    connections.push_back(entry.second);
  }
  for (const std::shared_ptr<Connection>& connection : connections) {
    connection->CheckTimeouts(now, mLimits);
  }
}

void
CallerServer::Impl::CloseConnections(bool aIncludeBusy)
{
  std::vector<std::shared_ptr<Connection>> connections;
  for (const auto& entry : mConnections) {
    if (aIncludeBusy || entry.second->Idle()) {
      connections.push_back(entry.second);
    }
  }
  for (const std::shared_ptr<Connection>& connection : connections) {
    if (aIncludeBusy) {
      connection->End();
    } else {
      connection->CloseWhenWritten();
    }
  }
}

std::size_t
CallerServer::Impl::Unfinished() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second->Unfinished();
    }));
}

CallerServer::CallerServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

CallerServer::~CallerServer()
{
  mImpl->mListener.reset();
  mImpl->CloseConnections(true);
}

Expected<std::unique_ptr<CallerServer>>
CallerServer::Listen(EventLoop& aLoop,
                     const std::string& aAddress,
                     const CallerLimits& aLimits,
                     Handler aHandler)
{
  auto impl = std::make_unique<Impl>(aLoop, aLimits, std::move(aHandler));
  Impl* const raw = impl.get();
  auto listener = TcpListener::Listen(
    aLoop, aAddress, [raw](std::shared_ptr<TcpStream> aStream) {
      raw->Accept(std::move(aStream));
    });
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  impl->mListener = std::move(*listener);
  impl->mAddress = impl->mListener->Address();
  impl->mSweepTimer.StartRepeating(kSweepPeriod);
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(impl)));
}

void
CallerServer::SetLimits(const CallerLimits& aLimits)
{
  mImpl->mLimits = aLimits;
}

void
CallerServer::CloseAfterResponses()
{
  mImpl->mCloseAfterResponses = true;
}

void
CallerServer::CloseIdle()
{
  mImpl->CloseConnections(false);
}

void
CallerServer::StopAccepting()
{
  mImpl->mListener.reset();
}

const std::string&
CallerServer::Address() const
{
  return mImpl->mAddress;
}

std::size_t
CallerServer::InFlight() const
{
  return mImpl->mInFlight;
}

std::size_t
CallerServer::Unfinished() const
{
  return mImpl->Unfinished();
}

std::size_t
CallerServer::Connections() const
{
  return mImpl->mConnections.size();
}

std::uint64_t
CallerServer::ReadingPauses() const
{
  return mImpl->mReadingPauses;
}

} // namespace papayaway
