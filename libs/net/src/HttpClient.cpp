#include <net/HttpClient.h>

#include <algorithm>
#include <cstring>
#include <unordered_map>

#include <curl/curl.h>

namespace papayaway {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{ 64 } << 10;
/** After this time, connections opened before ExcludeOpenConnections() need no
 *  exclusion: libcurl does not reuse a connection that was idle for 118 s. */
constexpr Millis kMaxExclusionTime = Seconds(120);

HttpFailure
Classify(CURLcode aCode, bool aSent)
{
  switch (aCode) {
    case CURLE_OK:
      return HttpFailure::None;
    case CURLE_OPERATION_TIMEDOUT:
      return aSent ? HttpFailure::Timeout : HttpFailure::NotConnected;
    case CURLE_COULDNT_CONNECT:
      return HttpFailure::NotConnected;
    case CURLE_WRITE_ERROR:
    case CURLE_FILESIZE_EXCEEDED:
      return HttpFailure::TooLarge;
    default:
      return aSent ? HttpFailure::ConnectionLost : HttpFailure::NotConnected;
  }
}

} // namespace

struct HttpClient::Impl
{
  struct Transfer
  {
    CallId mId = 0;
    CURL* mHandle = nullptr;
    curl_slist* mHeaderList = nullptr;
    HttpCall mCall;
    Callback mCallback;
    HttpResult mResult;
    std::size_t mMaxBody = 0;
    std::size_t mBodySent = 0;
    /** Number of bytes in header lines, of interim responses too. */
    std::size_t mHeaderBytes = 0;
    /** Whether a status line was received, but not the empty line after the
     *  header fields. */
    bool mInHeader = false;
    /** Whether the empty line after the header fields was received. */
    bool mHeaderComplete = false;
    /** Whether a header line without a valid field name was received. */
    bool mMalformed = false;
    std::optional<HeaderMatch> mLastResponse;
  };

  EventLoop& mLoop;
  HttpClientOptions mOptions;
  CURLM* mMulti = curl_multi_init();
  /** Deferred callbacks hold it weakly to detect that this object was
   *  destroyed. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  Timer mTimer;
  /** Connections opened before this time are not reused. */
  Millis mExcludedBefore{ -1e9 };
  CallId mNextId = 1;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> mTransfers;
  std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> mWatchers;

  Impl(EventLoop& aLoop, const HttpClientOptions& aOptions)
    : mLoop(aLoop)
    , mOptions(aOptions)
    , mTimer(aLoop, [this] { SocketAction(CURL_SOCKET_TIMEOUT, 0); })
  {
  }

  void SocketAction(curl_socket_t aSocket, int aEvents)
  {
    int running = 0;
    curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
    CollectFinished();
  }

  void WatchSocket(curl_socket_t aSocket, int aPollAction);
  void CollectFinished();
  void Finish(CallId aId, CURLcode aCode);
  void Release(Transfer& aTransfer);
  void Prepare(Transfer& aTransfer);

  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTransfer);
  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aTransfer);
  static std::size_t OnRead(char* aBuffer,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTransfer);
};

std::size_t
HttpClient::Impl::OnBody(char* aData,
                         std::size_t aSize,
                         std::size_t aCount,
                         void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  std::string& body = transfer.mResult.mResponse.mBody;
  if (body.size() + aSize * aCount > transfer.mMaxBody) {
    return 0;
  }
  body.append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t
HttpClient::Impl::OnHeader(char* aData,
                           std::size_t aSize,
                           std::size_t aCount,
                           void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::string_view line(aData, aSize * aCount);
  transfer.mHeaderBytes += line.size();
  if (transfer.mHeaderBytes > kMaxHeaderBytes) {
    return 0;
  }
  if (!transfer.mInHeader && line.starts_with("HTTP/")) {
    // A status line begins a new response: discard the headers of an interim
    // one such as 100 Continue.
    transfer.mResult.mResponse.mHeaders = {};
    transfer.mInHeader = true;
    transfer.mHeaderComplete = false;
  } else if (line == "\r\n" || line == "\n") {
    transfer.mInHeader = false;
    transfer.mHeaderComplete = true;
  } else if (!IsFieldLine(line)) {
    // libcurl passes on almost any line, also one that another reader would
    // take for the length of the body.
    transfer.mMalformed = true;
    return 0;
  } else {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    constexpr std::string_view kSpace = " \t\r\n";
    value.remove_prefix(
      std::min(value.find_first_not_of(kSpace), value.size()));
    value = value.substr(0, value.find_last_not_of(kSpace) + 1);
    if (transfer.mLastResponse &&
        EqualIgnoringCase(name, transfer.mLastResponse->mName) &&
        value == transfer.mLastResponse->mValue) {
      curl_easy_setopt(transfer.mHandle, CURLOPT_FORBID_REUSE, 1L);
    }
    transfer.mResult.mResponse.mHeaders.Add(std::string(name),
                                            std::string(value));
  }
  return aSize * aCount;
}

std::size_t
HttpClient::Impl::OnRead(char* aBuffer,
                         std::size_t aSize,
                         std::size_t aCount,
                         void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::string& body = transfer.mCall.mRequest.mBody;
  const std::size_t length =
    std::min(aSize * aCount, body.size() - transfer.mBodySent);
  std::memcpy(aBuffer, body.data() + transfer.mBodySent, length);
  transfer.mBodySent += length;
  return length;
}

void
HttpClient::Impl::Prepare(Transfer& aTransfer)
{
  CURL* const handle = aTransfer.mHandle;
  const HttpCall& call = aTransfer.mCall;
  const HttpRequest& request = call.mRequest;
  const std::string url =
    "http://" + call.mAddress + request.mPath + request.mQuery;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle,
                   CURLOPT_TIMEOUT_MS,
                   std::max(1L, long{ call.mTimeout.WholeMillis() }));
  curl_easy_setopt(handle,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   std::max(1L, long{ call.mConnectTimeout.WholeMillis() }));
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.mMethod.c_str());
  if (request.mMethod == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  }
  const auto size = static_cast<curl_off_t>(request.mBody.size());
  if (size > 0 && call.mIdempotent) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, size);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.mBody.data());
  } else if (size > 0) {
    // libcurl retries a request by itself when a reused connection closes
    // before the response. Without a seek function it can't rewind the body,
    // so the call fails instead of running twice.
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, size);
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, &OnRead);
    curl_easy_setopt(handle, CURLOPT_READDATA, &aTransfer);
  }
  // For a request without a body, only a new connection prevents that retry.
  const Millis sinceExclusion = SteadyNow() - mExcludedBefore;
  const bool freshConnection = call.mFreshConnection ||
                               (!call.mIdempotent && size == 0) ||
                               sinceExclusion < Seconds(1);
  // libcurl measures the age of connections in whole seconds; 0 means that
  // the age is not limited.
  const long maxLifetimeSeconds =
    sinceExclusion < kMaxExclusionTime
      ? static_cast<long>(sinceExclusion.WholeMillis() / 1000)
      : 0;
  curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN, maxLifetimeSeconds);
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, freshConnection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 0L);

  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  bool hasContentType = false;
  for (const auto& [name, value] : request.mHeaders.Fields()) {
    if (EqualIgnoringCase(name, "Content-Length") ||
        EqualIgnoringCase(name, "Connection") ||
        EqualIgnoringCase(name, "Host") || EqualIgnoringCase(name, "Expect") ||
        EqualIgnoringCase(name, "Transfer-Encoding")) {
      continue;
    }
    hasContentType = hasContentType || EqualIgnoringCase(name, "Content-Type");
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    list = curl_slist_append(list, line.c_str());
  }
  if (!hasContentType) {
    list = curl_slist_append(list, "Content-Type:");
  }
  aTransfer.mHeaderList = list;
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
}

void
HttpClient::Impl::WatchSocket(curl_socket_t aSocket, int aPollAction)
{
  if (aPollAction == CURL_POLL_REMOVE) {
    mWatchers.erase(aSocket);
    return;
  }
  std::unique_ptr<IoWatcher>& watcher = mWatchers[aSocket];
  if (!watcher) {
    watcher = std::make_unique<IoWatcher>(
      mLoop, aSocket, [this, aSocket](bool aRead, bool aWrite) {
        SocketAction(aSocket,
                     (aRead ? CURL_CSELECT_IN : 0) |
                       (aWrite ? CURL_CSELECT_OUT : 0));
      });
  }
  watcher->Watch((aPollAction & CURL_POLL_IN) != 0,
                 (aPollAction & CURL_POLL_OUT) != 0);
}

void
HttpClient::Impl::CollectFinished()
{
  int remaining = 0;
  while (CURLMsg* const message = curl_multi_info_read(mMulti, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    const CURLcode code = message->data.result;
    // Deferred, because the callback may start new calls.
    mLoop.Defer(
      [this, id = transfer->mId, code, alive = std::weak_ptr<bool>(mAlive)] {
        if (!alive.expired()) {
          Finish(id, code);
        }
      });
  }
}

void
HttpClient::Impl::Finish(CallId aId, CURLcode aCode)
{
  const auto found = mTransfers.find(aId);
  if (found == mTransfers.end()) {
    return;
  }
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  mTransfers.erase(found);
  long sent = 0;
  long status = 0;
  curl_easy_getinfo(transfer->mHandle, CURLINFO_REQUEST_SIZE, &sent);
  curl_easy_getinfo(transfer->mHandle, CURLINFO_RESPONSE_CODE, &status);
  HttpResult result = std::move(transfer->mResult);
  result.mMayHaveRun = sent > 0;
  // libcurl reports success if the connection ends within the header fields.
  const CURLcode code =
    aCode == CURLE_OK && !transfer->mHeaderComplete ? CURLE_RECV_ERROR : aCode;
  result.mFailure = transfer->mMalformed ? HttpFailure::Malformed
                                         : Classify(code, result.mMayHaveRun);
  result.mResponse.mStatus = static_cast<int>(status);
  if (transfer->mMalformed) {
    result.mError = "a header line has no valid field name";
  } else if (code != CURLE_OK) {
    result.mError = curl_easy_strerror(code);
  }
  Release(*transfer);
  transfer->mCallback(std::move(result));
}

void
HttpClient::Impl::Release(Transfer& aTransfer)
{
  curl_multi_remove_handle(mMulti, aTransfer.mHandle);
  curl_slist_free_all(aTransfer.mHeaderList);
  aTransfer.mHeaderList = nullptr;
  // Not reused: curl_easy_reset() of libcurl 7.88 keeps a pointer to the last
  // header line, which is freed when the next transfer starts. A response whose
  // first header line is folded would be appended to it.
  curl_easy_cleanup(aTransfer.mHandle);
}

HttpClient::HttpClient(EventLoop& aLoop, const HttpClientOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aLoop, aOptions))
{
  CURLM* const multi = mImpl->mMulti;
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, mImpl.get());
  curl_multi_setopt(
    multi,
    CURLMOPT_SOCKETFUNCTION,
    +[](CURL*, curl_socket_t aSocket, int aPollAction, void* aImpl, void*) {
      static_cast<Impl*>(aImpl)->WatchSocket(aSocket, aPollAction);
      return 0;
    });
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, mImpl.get());
  curl_multi_setopt(
    multi, CURLMOPT_TIMERFUNCTION, +[](CURLM*, long aTimeout, void* aImpl) {
      Timer& timer = static_cast<Impl*>(aImpl)->mTimer;
      if (aTimeout < 0) {
        timer.Stop();
      } else {
        timer.StartOnce({ static_cast<double>(aTimeout) });
      }
      return 0;
    });
  curl_multi_setopt(
    multi, CURLMOPT_MAX_HOST_CONNECTIONS, aOptions.mMaxConnectionsPerServer);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, aOptions.mMaxIdleConnections);
}

HttpClient::~HttpClient()
{
  for (auto& [id, transfer] : mImpl->mTransfers) {
    mImpl->Release(*transfer);
  }
  curl_multi_cleanup(mImpl->mMulti);
}

HttpClient::CallId
HttpClient::Send(HttpCall aCall, Callback aCallback)
{
  auto transfer = std::make_unique<Impl::Transfer>();
  transfer->mId = mImpl->mNextId++;
  transfer->mCall = std::move(aCall);
  transfer->mCallback = std::move(aCallback);
  transfer->mMaxBody = mImpl->mOptions.mMaxBody;
  transfer->mLastResponse = mImpl->mOptions.mLastResponse;
  transfer->mHandle = curl_easy_init();
  mImpl->Prepare(*transfer);
  Impl::Transfer& started = *transfer;
  mImpl->mTransfers.emplace(started.mId, std::move(transfer));
  curl_multi_add_handle(mImpl->mMulti, started.mHandle);
  return started.mId;
}

void
HttpClient::Cancel(CallId aId)
{
  const auto found = mImpl->mTransfers.find(aId);
  if (found == mImpl->mTransfers.end()) {
    return;
  }
  const std::shared_ptr<Impl::Transfer> transfer = std::move(found->second);
  mImpl->mTransfers.erase(found);
  long sent = 0;
  curl_easy_getinfo(transfer->mHandle, CURLINFO_REQUEST_SIZE, &sent);
  mImpl->Release(*transfer);
  mImpl->mLoop.Defer([transfer, sent] {
    HttpResult result;
    result.mFailure = HttpFailure::Cancelled;
    result.mMayHaveRun = sent > 0;
    transfer->mCallback(std::move(result));
  });
}

void
HttpClient::ExcludeOpenConnections()
{
  mImpl->mExcludedBefore = SteadyNow();
}

std::size_t
HttpClient::InFlight() const
{
  return mImpl->mTransfers.size();
}

} // namespace papayaway
