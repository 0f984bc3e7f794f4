#include "PlatformClientImpl.h"

#include <cmath>

#include <net/PathEncoding.h>

namespace papayaway {

void
PlatformClient::Impl::SendCommit(const CommitPointer& aCommit)
{
  Send(MakeRequest(
         "POST", "/transactions", EncodeTransaction(aCommit->mTransaction)),
       [this, aCommit](const HttpResult& aResult) {
         OnCommitResult(aCommit, aResult);
       });
}

void
PlatformClient::Impl::OnCommitResult(const CommitPointer& aCommit,
                                     const HttpResult& aResult)
{
  switch (EffectOf(aResult)) {
    case WriteEffect::Answered: {
      const std::string& body = aResult.mResponse.mBody;
      Expected<CommitResult> result = tl::unexpected(ErrorOf(aResult));
      if (aResult.mResponse.mStatus == 200) {
        result = DecodeOrError(
          [&]() -> CommitResult { return DecodeCommitted(body); });
        if (!result) {
          result.error().mCode = ErrorCode::OutcomeUnknown;
        }
      } else if (aResult.mResponse.mStatus == 409) {
        result =
          DecodeOrError([&]() -> CommitResult { return DecodeConflict(body); });
      }
      End(aCommit->mCallback, std::move(result));
      return;
    }
    case WriteEffect::None:
      if (!aCommit->mMayStillRun) {
        Error error = ErrorOf(aResult);
        error.mCode = ErrorCode::Unavailable;
        End<CommitResult>(aCommit->mCallback, tl::unexpected(std::move(error)));
        return;
      }
      break;
    case WriteEffect::ResponseLost:
      break;
    case WriteEffect::Unknown:
      aCommit->mMayStillRun = true;
      break;
  }
  ScheduleLookup(aCommit);
}

void
PlatformClient::Impl::ScheduleLookup(const CommitPointer& aCommit)
{
  if (aCommit->mLookups >= mOptions.mMaxLookups) {
    End<CommitResult>(
      aCommit->mCallback,
      Fail(ErrorCode::OutcomeUnknown,
           "the platform does not tell the result of operation " +
             aCommit->mTransaction.mOperation));
    return;
  }
  const Millis delay = mOptions.mLookupDelay * std::exp2(aCommit->mLookups) *
                       (0.5 + UniformFraction(mRandom));
  ++aCommit->mLookups;
  RunAfter(delay, [this, aCommit] {
    Send(MakeRequest("GET",
                     "/operations/" +
                       PercentEncode(aCommit->mTransaction.mOperation)),
         [this, aCommit](const HttpResult& aResult) {
           OnLookupResult(aCommit, aResult);
         });
  });
}

void
PlatformClient::Impl::OnLookupResult(const CommitPointer& aCommit,
                                     const HttpResult& aResult)
{
  const int status = aResult.mResponse.mStatus;
  if (aResult.mFailure == HttpFailure::None && status == 200) {
    Expected<CommitResult> result = DecodeOrError([&]() -> CommitResult {
      return DecodeCommitted(aResult.mResponse.mBody);
    });
    if (result) {
      End(aCommit->mCallback, std::move(result));
      return;
    }
  }
  if (aResult.mFailure != HttpFailure::None || status != 404) {
    ScheduleLookup(aCommit);
  } else if (aCommit->mMayStillRun) {
    // The first request may reach the platform after this lookup. The retry has
    // the same operation id, so the transaction takes effect only once.
    SendCommit(aCommit);
  } else {
    End<CommitResult>(
      aCommit->mCallback,
      Fail(ErrorCode::Unavailable, "the transaction had no effect"));
  }
}

} // namespace papayaway
