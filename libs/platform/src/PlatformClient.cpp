#include <platform/PlatformClient.h>

#include <type_traits>
#include <utility>

#include <net/PathEncoding.h>

#include "PlatformClientImpl.h"

namespace papayaway {

namespace {

HttpRequest
ListRequest(std::string aPath, const std::string& aPrefix)
{
  HttpRequest request = MakeRequest("GET", std::move(aPath));
  request.mQuery = "?prefix=" + PercentEncode(aPrefix);
  return request;
}

// Returns a function that applies aDecode to the body of a result with status
// 200 and returns an error for any other status.
template<typename Decode>
auto
OnSuccess(Decode aDecode)
{
  using Value = std::invoke_result_t<Decode, const std::string&>;
  return [aDecode](const HttpResult& aResult) -> Expected<Value> {
    if (aResult.mResponse.mStatus != 200) {
      return tl::unexpected(ErrorOf(aResult));
    }
    return DecodeOrError([&] { return aDecode(aResult.mResponse.mBody); });
  };
}

} // namespace

void
PlatformClient::Impl::Send(HttpRequest aRequest, Handler aHandler)
{
  // The HTTP client must not retry a write by itself: a 503 to the second
  // attempt would not tell whether the first one had an effect.
  const bool isRead = aRequest.mMethod == "GET";
  mHttp.Send({ .mAddress = mOptions.mAddress,
               .mRequest = std::move(aRequest),
               .mTimeout = mOptions.mTimeout,
               .mConnectTimeout = mOptions.mConnectTimeout,
               .mIdempotent = isRead,
               .mFreshConnection = mAvoidPooledConnections },
             [weak = weak_from_this(),
              handler = std::move(aHandler)](const HttpResult& aResult) {
               if (const auto self = weak.lock()) {
                 self->mAvoidPooledConnections =
                   aResult.mFailure == HttpFailure::Timeout;
                 handler(aResult);
               }
             });
}

void
PlatformClient::Impl::SendClaim(const LeaseClaim& aClaim,
                                const LeaseToken* aToken,
                                Callback<LeaseClaimResult> aCallback)
{
  Call<LeaseClaimResult>(
    MakeRequest("POST",
                "/leases/" + PercentEncode(aClaim.mName),
                EncodeClaim(aClaim, aToken)),
    std::move(aCallback),
    [sentAt =
       SteadyNow()](const HttpResult& aResult) -> Expected<LeaseClaimResult> {
      const std::string& body = aResult.mResponse.mBody;
      if (aResult.mResponse.mStatus == 200) {
        return DecodeOrError(
          [&]() -> LeaseClaimResult { return DecodeGrant(body, sentAt); });
      }
      if (aResult.mResponse.mStatus == 409) {
        return DecodeOrError(
          [&]() -> LeaseClaimResult { return DecodeLeaseState(body); });
      }
      return tl::unexpected(ErrorOf(aResult));
    });
}

PlatformClient::PlatformClient(EventLoop& aLoop,
                               HttpClient& aHttp,
                               const PlatformOptions& aOptions,
                               Random aRandom)
  : mImpl(std::make_shared<Impl>(aLoop, aHttp, aOptions, aRandom))
{
}

PlatformClient::~PlatformClient() = default;

void
PlatformClient::ReadRow(const std::string& aKey, Callback<TableRow> aCallback)
{
  mImpl->Call<TableRow>(MakeRequest("GET", "/table/" + PercentEncode(aKey)),
                        std::move(aCallback),
                        OnSuccess([aKey](const std::string& aBody) {
                          return DecodeRow(aKey, aBody);
                        }));
}

void
PlatformClient::ScanRows(const std::string& aPrefix,
                         Callback<std::vector<TableRow>> aCallback)
{
  mImpl->Call<std::vector<TableRow>>(ListRequest("/table", aPrefix),
                                     std::move(aCallback),
                                     OnSuccess(&DecodeRows));
}

void
PlatformClient::Commit(const Transaction& aTransaction,
                       Callback<CommitResult> aCallback)
{
  if (!mImpl->BeginCall(aCallback)) {
    return;
  }
  auto commit = std::make_shared<Impl::PendingCommit>();
  commit->mTransaction = aTransaction;
  commit->mCallback = std::move(aCallback);
  mImpl->SendCommit(commit);
}

void
PlatformClient::OperationResult(const std::string& aOperation,
                                Callback<Committed> aCallback)
{
  mImpl->Call<Committed>(
    MakeRequest("GET", "/operations/" + PercentEncode(aOperation)),
    std::move(aCallback),
    OnSuccess(&DecodeCommitted));
}

void
PlatformClient::AcquireLease(const LeaseClaim& aClaim,
                             Callback<LeaseClaimResult> aCallback)
{
  mImpl->SendClaim(aClaim, nullptr, std::move(aCallback));
}

void
PlatformClient::RenewLease(const LeaseClaim& aClaim,
                           LeaseToken aToken,
                           Callback<LeaseClaimResult> aCallback)
{
  mImpl->SendClaim(aClaim, &aToken, std::move(aCallback));
}

void
PlatformClient::ReleaseLease(const std::string& aName,
                             const std::string& aHolder,
                             LeaseToken aToken,
                             Callback<Empty> aCallback)
{
  const nlohmann::json body{ { "holder", aHolder }, { "token", aToken } };
  mImpl->Call<Empty>(
    MakeRequest("DELETE", "/leases/" + PercentEncode(aName), body.dump()),
    std::move(aCallback),
    OnSuccess([](const std::string&) { return Empty{}; }));
}

void
PlatformClient::ReadLease(const std::string& aName,
                          Callback<LeaseState> aCallback)
{
  mImpl->Call<LeaseState>(MakeRequest("GET", "/leases/" + PercentEncode(aName)),
                          std::move(aCallback),
                          OnSuccess(&DecodeLeaseState));
}

void
PlatformClient::PutObject(const std::string& aName,
                          std::string aContent,
                          Callback<Empty> aCallback)
{
  HttpRequest request = MakeRequest("PUT", "/objects/" + PercentEncode(aName));
  request.mHeaders.Add("Content-Type", "application/octet-stream");
  request.mBody = std::move(aContent);
  mImpl->Call<Empty>(std::move(request),
                     std::move(aCallback),
                     OnSuccess([](const std::string&) { return Empty{}; }));
}

void
PlatformClient::GetObject(const std::string& aName,
                          Callback<std::string> aCallback)
{
  mImpl->Call<std::string>(
    MakeRequest("GET", "/objects/" + PercentEncode(aName)),
    std::move(aCallback),
    OnSuccess([](const std::string& aBody) { return aBody; }));
}

void
PlatformClient::ListObjects(const std::string& aPrefix,
                            Callback<std::vector<ObjectInfo>> aCallback)
{
  mImpl->Call<std::vector<ObjectInfo>>(ListRequest("/objects", aPrefix),
                                       std::move(aCallback),
                                       OnSuccess(&DecodeObjects));
}

std::size_t
PlatformClient::Pending() const
{
  return mImpl->mPending;
}

} // namespace papayaway
