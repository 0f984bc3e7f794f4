#include <net/HttpServer.h>

#include <cerrno>
#include <unordered_set>

#include <sys/socket.h>
#include <unistd.h>

#include <glog/logging.h>
#include <microhttpd.h>

#include <net/SocketAddress.h>

namespace papayaway {

namespace {

class MhdExchange;

constexpr unsigned int kListenBacklog = 1024;

} // namespace

struct HttpServer::Impl
{
  EventLoop& mLoop;
  HttpServerOptions mOptions;
  HttpHandler mHandler;
  MHD_Daemon* mDaemon = nullptr;
  std::string mAddress;
  std::size_t mInFlight = 0;
  std::size_t mConnections = 0;
  std::uintptr_t mLastConnectionId = 0;
  std::unordered_set<MhdExchange*> mSuspended;
  bool mRunScheduled = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::unique_ptr<IoWatcher> mEpollWatcher;
  std::unique_ptr<Timer> mTimer;

  Impl(EventLoop& aLoop,
       const HttpServerOptions& aOptions,
       HttpHandler aHandler)
    : mLoop(aLoop)
    , mOptions(aOptions)
    , mHandler(std::move(aHandler))
  {
  }

  void ScheduleRun();
  void RunDaemon();
};

namespace {

// The state of one request of libmicrohttpd, which calls the access handler
// several times: first with the headers, then for each part of the body, then
// at the end of the body, and once more after a suspended connection resumes.
class MhdExchange : public HttpExchange
{
public:
  MhdExchange(HttpServer::Impl& aServer, MHD_Connection* aConnection);
  ~MhdExchange() override = default;

  [[nodiscard]] const HttpRequest& Request() const override { return mRequest; }
  [[nodiscard]] std::uint64_t ConnectionId() const override;
  void Respond(HttpResponse aResponse) override;
  void OnAbandoned(std::function<void()> aCallback) override
  {
    mOnAbandoned = std::move(aCallback);
  }

  MHD_Result Access(const char* aUploadData, size_t* aUploadSize);
  void Complete(bool aSent);
  void ResumeForShutdown();

  // Keeps this object alive until libmicrohttpd has completed the request.
  std::shared_ptr<MhdExchange> mSelf;

  void ReadTarget(const char* aTarget);
  void SetMethod(const char* aMethod) { mRequest.mMethod = aMethod; }

private:
  MHD_Result QueueResponse();
  void WatchForClose();
  void Abandon();

  HttpServer::Impl* mServer;
  MHD_Connection* mConnection;
  HttpRequest mRequest;
  HttpResponse mResponse;
  std::function<void()> mOnAbandoned;
  std::unique_ptr<IoWatcher> mCloseWatcher;
  bool mStarted = false;
  bool mTooLarge = false;
  bool mSuspended = false;
  bool mResponded = false;
  bool mFinished = false;
};

MhdExchange::MhdExchange(HttpServer::Impl& aServer, MHD_Connection* aConnection)
  : mServer(&aServer)
  , mConnection(aConnection)
{
}

void
MhdExchange::ReadTarget(const char* aTarget)
{
  const std::string target = aTarget;
  const std::size_t query = target.find('?');
  mRequest.mPath = target.substr(0, query);
  mRequest.mQuery = query == std::string::npos ? "" : target.substr(query);
}

MHD_Result
MhdExchange::Access(const char* aUploadData, size_t* aUploadSize)
{
  if (!mStarted) {
    mStarted = true;
    MHD_get_connection_values(
      mConnection,
      MHD_HEADER_KIND,
      [](void* aHeaders, MHD_ValueKind, const char* aKey, const char* aValue) {
        static_cast<HttpHeaders*>(aHeaders)->Add(
          aKey, aValue == nullptr ? "" : aValue);
        return MHD_YES;
      },
      &mRequest.mHeaders);
    return MHD_YES;
  }
  if (*aUploadSize > 0) {
    if (mRequest.mBody.size() + *aUploadSize > mServer->mOptions.mMaxBody) {
      mTooLarge = true;
      mRequest.mBody.clear();
    } else if (!mTooLarge) {
      mRequest.mBody.append(aUploadData, *aUploadSize);
    }
    *aUploadSize = 0;
    return MHD_YES;
  }
  if (mResponded) {
    return QueueResponse();
  }
  if (mTooLarge) {
    Respond(JsonResponse(413, R"({"error":"the body is too large"})"));
    return QueueResponse();
  }
  mServer->mHandler(mSelf);
  if (mResponded) {
    return QueueResponse();
  }
  mSuspended = true;
  mServer->mSuspended.insert(this);
  MHD_suspend_connection(mConnection);
  WatchForClose();
  return MHD_YES;
}

void
MhdExchange::Respond(HttpResponse aResponse)
{
  if (mResponded || mFinished) {
    return;
  }
  mResponded = true;
  mResponse = std::move(aResponse);
  mOnAbandoned = nullptr;
  if (mSuspended) {
    mCloseWatcher.reset();
    mSuspended = false;
    mServer->mSuspended.erase(this);
    MHD_resume_connection(mConnection);
    mServer->ScheduleRun();
  }
}

std::uint64_t
MhdExchange::ConnectionId() const
{
  if (mFinished) {
    return 0;
  }
  return reinterpret_cast<std::uintptr_t>(
    MHD_get_connection_info(mConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context);
}

void
MhdExchange::ResumeForShutdown()
{
  // The owner of the server may be partly destroyed, so its callback is
  // removed instead of called.
  mOnAbandoned = nullptr;
  mCloseWatcher.reset();
  mSuspended = false;
  MHD_resume_connection(mConnection);
}

MHD_Result
MhdExchange::QueueResponse()
{
  MHD_Response* const response = MHD_create_response_from_buffer(
    mResponse.mBody.size(), mResponse.mBody.data(), MHD_RESPMEM_MUST_COPY);
  for (const auto& [name, value] : mResponse.mHeaders.Fields()) {
    if (!EqualIgnoringCase(name, "Content-Length") &&
        !EqualIgnoringCase(name, "Connection") &&
        !EqualIgnoringCase(name, "Transfer-Encoding")) {
      MHD_add_response_header(response, name.c_str(), value.c_str());
    }
  }
  const MHD_Result queued = MHD_queue_response(
    mConnection, static_cast<unsigned int>(mResponse.mStatus), response);
  MHD_destroy_response(response);
  return queued;
}

void
MhdExchange::WatchForClose()
{
  // libmicrohttpd does not watch a suspended connection, so a disconnect of
  // the client would not be detected before the response is written.
  const MHD_ConnectionInfo* const info =
    MHD_get_connection_info(mConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) {
    return;
  }
  const int descriptor = info->connect_fd;
  mCloseWatcher = std::make_unique<IoWatcher>(
    mServer->mLoop, descriptor, [this, descriptor](bool, bool) {
      char byte = 0;
      const ssize_t length =
        recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
      }
      // The socket is also readable if a pipelined request has arrived. Stop
      // watching in either case, because the event would repeat at once.
      mCloseWatcher->Watch(false, false);
      if (length <= 0) {
        mServer->mLoop.Defer([self = mSelf] {
          if (self) {
            self->Abandon();
          }
        });
      }
    });
  mCloseWatcher->Watch(true, false);
}

void
MhdExchange::Abandon()
{
  if (mResponded || mFinished) {
    return;
  }
  if (mOnAbandoned) {
    std::exchange(mOnAbandoned, nullptr)();
  }
  Respond({ .mStatus = 499 });
}

void
MhdExchange::Complete(bool aSent)
{
  mFinished = true;
  mCloseWatcher.reset();
  if (!aSent && !mResponded && mOnAbandoned) {
    std::exchange(mOnAbandoned, nullptr)();
  }
  --mServer->mInFlight;
}

MHD_Result
OnAccess(void*,
         MHD_Connection*,
         const char*,
         const char* aMethod,
         const char*,
         const char* aUploadData,
         size_t* aUploadSize,
         void** aState)
{
  auto* const exchange = static_cast<MhdExchange*>(*aState);
  if (exchange == nullptr) {
    return MHD_NO;
  }
  exchange->SetMethod(aMethod);
  return exchange->Access(aUploadData, aUploadSize);
}

// Receives the request target as the client sent it; libmicrohttpd passes it
// to the access handler decoded and without the query.
void*
OnRequestTarget(void* aServer, const char* aTarget, MHD_Connection* aConnection)
{
  auto& server = *static_cast<HttpServer::Impl*>(aServer);
  auto exchange = std::make_shared<MhdExchange>(server, aConnection);
  exchange->mSelf = exchange;
  exchange->ReadTarget(aTarget);
  ++server.mInFlight;
  return exchange.get();
}

void
OnCompleted(void*,
            MHD_Connection*,
            void** aState,
            MHD_RequestTerminationCode aCode)
{
  if (*aState == nullptr) {
    return;
  }
  const std::shared_ptr<MhdExchange> exchange =
    std::move(static_cast<MhdExchange*>(*aState)->mSelf);
  *aState = nullptr;
  exchange->Complete(aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void
OnConnection(void* aServer,
             MHD_Connection*,
             void** aContext,
             MHD_ConnectionNotificationCode aCode)
{
  auto& server = *static_cast<HttpServer::Impl*>(aServer);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    ++server.mConnections;
    *aContext = reinterpret_cast<void*>(++server.mLastConnectionId);
  } else {
    --server.mConnections;
  }
}

} // namespace

void
HttpServer::Impl::ScheduleRun()
{
  if (!mRunScheduled) {
    mRunScheduled = true;
    // The server may be destroyed before the callback runs.
    mLoop.Defer([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        mRunScheduled = false;
        RunDaemon();
      }
    });
  }
}

void
HttpServer::Impl::RunDaemon()
{
  MHD_run(mDaemon);
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  if (MHD_get_timeout(mDaemon, &timeout) != MHD_YES) {
    mTimer->Stop();
    return;
  }
  if (timeout == 0) {
    ScheduleRun();
    return;
  }
  mTimer->StartOnce({ static_cast<double>(timeout) });
}

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpServer::~HttpServer()
{
  mImpl->mEpollWatcher.reset();
  mImpl->mTimer.reset();
  // MHD_stop_daemon() aborts the process if a connection is still suspended.
  for (MhdExchange* const exchange : mImpl->mSuspended) {
    exchange->ResumeForShutdown();
  }
  if (mImpl->mDaemon != nullptr) {
    MHD_stop_daemon(mImpl->mDaemon);
  }
}

Expected<std::unique_ptr<HttpServer>>
HttpServer::Listen(EventLoop& aLoop,
                   const HttpServerOptions& aOptions,
                   HttpHandler aHandler)
{
  Expected<sockaddr_in> address = ParseAddress(aOptions.mAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  auto impl = std::make_unique<Impl>(aLoop, aOptions, std::move(aHandler));
  impl->mDaemon = MHD_start_daemon(
    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
    0,
    nullptr,
    nullptr,
    &OnAccess,
    impl.get(),
    MHD_OPTION_SOCK_ADDR,
    &*address,
    MHD_OPTION_LISTENING_ADDRESS_REUSE,
    1U,
    MHD_OPTION_LISTEN_BACKLOG_SIZE,
    kListenBacklog,
    MHD_OPTION_CONNECTION_LIMIT,
    aOptions.mMaxConnections,
    MHD_OPTION_CONNECTION_TIMEOUT,
    static_cast<unsigned int>(aOptions.mIdleTimeout.WholeMillis() / 1000),
    MHD_OPTION_URI_LOG_CALLBACK,
    &OnRequestTarget,
    impl.get(),
    MHD_OPTION_NOTIFY_COMPLETED,
    &OnCompleted,
    impl.get(),
    MHD_OPTION_NOTIFY_CONNECTION,
    &OnConnection,
    impl.get(),
    MHD_OPTION_END);
  if (impl->mDaemon == nullptr) {
    return Fail(ErrorCode::Unavailable, "can't listen on " + aOptions.mAddress);
  }
  address->sin_port =
    htons(MHD_get_daemon_info(impl->mDaemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  impl->mAddress = FormatAddress(*address);

  Impl* const raw = impl.get();
  impl->mTimer = std::make_unique<Timer>(aLoop, [raw] { raw->RunDaemon(); });
  const int epoll =
    MHD_get_daemon_info(impl->mDaemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  impl->mEpollWatcher = std::make_unique<IoWatcher>(
    aLoop, epoll, [raw](bool, bool) { raw->RunDaemon(); });
  impl->mEpollWatcher->Watch(true, false);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

const std::string&
HttpServer::Address() const
{
  return mImpl->mAddress;
}

void
HttpServer::StopAccepting()
{
  const MHD_socket listener = MHD_quiesce_daemon(mImpl->mDaemon);
  if (listener != MHD_INVALID_SOCKET) {
    close(listener);
  }
}

std::size_t
HttpServer::Connections() const
{
  return mImpl->mConnections;
}

std::size_t
HttpServer::InFlight() const
{
  return mImpl->mInFlight;
}

} // namespace papayaway
