#pragma once

#include <platform/PlatformClient.h>

#include <utility>

#include <net/DelayedCalls.h>

#include "PlatformCodec.h"

namespace papayaway {

// Returns the result of aDecode(), or an error if it throws because the body is
// malformed.
template<typename Decode>
auto
DecodeOrError(Decode aDecode) -> Expected<decltype(aDecode())>
{
  try {
    return aDecode();
  } catch (const nlohmann::json::exception& fault) {
    return Fail(ErrorCode::Internal,
                std::string("the platform's answer is malformed: ") +
                  fault.what());
  }
}

/** @return a request with a JSON body, or without a body. */
inline HttpRequest
MakeRequest(std::string aMethod, std::string aPath, std::string aBody = {})
{
  HttpRequest request{ .mMethod = std::move(aMethod),
                       .mPath = std::move(aPath),
                       .mBody = std::move(aBody) };
  if (!request.mBody.empty()) {
    request.mHeaders.Add("Content-Type", "application/json");
  }
  return request;
}

struct PlatformClient::Impl : std::enable_shared_from_this<Impl>
{
  using Handler = std::function<void(const HttpResult&)>;

  // A commit whose callback has not run yet.
  struct PendingCommit
  {
    Transaction mTransaction;
    Callback<CommitResult> mCallback;
    int mLookups = 0;
    // Whether a request that was sent may still take effect.
    bool mMayStillRun = false;
  };
  using CommitPointer = std::shared_ptr<PendingCommit>;

  HttpClient& mHttp;
  PlatformOptions mOptions;
  Random mRandom;
  DelayedCalls mDelayed;
  std::size_t mPending = 0;
  // Whether the last call timed out. Pooled connections may then be dead, so
  // the next call opens a new one.
  bool mAvoidPooledConnections = false;

  Impl(EventLoop& aLoop,
       HttpClient& aHttp,
       const PlatformOptions& aOptions,
       Random aRandom)
    : mHttp(aHttp)
    , mOptions(aOptions)
    , mRandom(aRandom)
    , mDelayed(aLoop)
  {
  }

  void Send(HttpRequest aRequest, Handler aHandler);

  // Runs aCallback after aDelay unless the client has been destroyed.
  void RunAfter(Millis aDelay, EventLoop::Callback aCallback)
  {
    mDelayed.RunAfter(
      aDelay, [weak = weak_from_this(), callback = std::move(aCallback)] {
        if (const auto self = weak.lock()) {
          callback();
        }
      });
  }

  // Sends a call that counts as pending until its callback runs.
  template<typename T>
  void Call(HttpRequest&& aRequest,
            Callback<T> aCallback,
            std::function<Expected<T>(const HttpResult&)> aDecode);

  // Counts a call as pending. If there are too many, arranges that aCallback
  // receives an error, and returns false.
  template<typename T>
  bool BeginCall(const Callback<T>& aCallback);

  // Ends a call that BeginCall() counted.
  template<typename T>
  void End(const Callback<T>& aCallback, Expected<T> aResult)
  {
    --mPending;
    aCallback(std::move(aResult));
  }

  // Acquires a lease if aToken is null, otherwise renews it.
  void SendClaim(const LeaseClaim& aClaim,
                 const LeaseToken* aToken,
                 Callback<LeaseClaimResult> aCallback);
  void SendCommit(const CommitPointer& aCommit);
  void OnCommitResult(const CommitPointer& aCommit, const HttpResult& aResult);
  void ScheduleLookup(const CommitPointer& aCommit);
  void OnLookupResult(const CommitPointer& aCommit, const HttpResult& aResult);
};

template<typename T>
bool
PlatformClient::Impl::BeginCall(const Callback<T>& aCallback)
{
  ++mPending;
  if (mPending <= mOptions.mMaxPending) {
    return true;
  }
  RunAfter({}, [this, aCallback] {
    End<T>(
      aCallback,
      Fail(ErrorCode::Refused, "there are too many calls to the platform"));
  });
  return false;
}

template<typename T>
void
PlatformClient::Impl::Call(
  HttpRequest&& aRequest,
  Callback<T> aCallback,
  std::function<Expected<T>(const HttpResult&)> aDecode)
{
  if (!BeginCall(aCallback)) {
    return;
  }
  const bool isRead = aRequest.mMethod == "GET";
  Send(std::move(aRequest),
       [this,
        isRead,
        callback = std::move(aCallback),
        decode = std::move(aDecode)](const HttpResult& aResult) {
         const WriteEffect effect = EffectOf(aResult);
         Expected<T> result = Fail(ErrorCode::Internal, "");
         if (effect == WriteEffect::Answered) {
           result = decode(aResult);
         } else {
           result = tl::unexpected(ErrorOf(aResult));
           if (!isRead) {
             result.error().mCode = effect == WriteEffect::None
                                      ? ErrorCode::Unavailable
                                      : ErrorCode::OutcomeUnknown;
           }
         }
         End(callback, std::move(result));
       });
}

} // namespace papayaway
