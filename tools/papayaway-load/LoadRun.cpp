#include "LoadRun.h"

#include <cmath>

namespace papayaway {

namespace {

constexpr std::uint64_t kMaxCallsInFlight = 100'000;
constexpr Millis kRetryDelay{ 50 };

std::string
InsertCallNumber(std::string aText, std::uint64_t aNumber)
{
  constexpr std::string_view kPlaceholder = "{n}";
  const std::string digits = std::to_string(aNumber);
  for (std::size_t at = aText.find(kPlaceholder); at != std::string::npos;
       at = aText.find(kPlaceholder, at + digits.size())) {
    aText.replace(at, kPlaceholder.size(), digits);
  }
  return aText;
}

} // namespace

LoadRun::LoadRun(EventLoop& aLoop, const LoadOptions& aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mClient(
      aLoop,
      { .mMaxConnectionsPerServer = aOptions.mConnections,
        .mMaxIdleConnections = aOptions.mConnections *
                               static_cast<long>(aOptions.mAddresses.size()) })
  , mDelayed(aLoop)
  , mRandom(aOptions.mSeed)
{
}

void
LoadRun::Start()
{
  mStart = SteadyNow();
  mNextArrival = mStart;
  SendDueCalls();
}

void
LoadRun::StopArrivals()
{
  mArrivalsStopped = true;
  StopIfDone();
}

bool
LoadRun::HasMoreArrivals() const
{
  if (mArrivalsStopped) {
    return false;
  }
  return mOptions.mCount > 0 ? mArrivals < mOptions.mCount
                             : mNextArrival < mStart + mOptions.mDuration;
}

void
LoadRun::SendDueCalls()
{
  while (HasMoreArrivals() && mNextArrival <= SteadyNow()) {
    StartCall(mArrivals++, mNextArrival);
    // Exponentially distributed gaps give a Poisson process.
    mNextArrival +=
      Seconds(-std::log(1 - UniformFraction(mRandom)) / mOptions.mRate);
  }
  if (HasMoreArrivals()) {
    mDelayed.RunAt(mNextArrival, [this] { SendDueCalls(); });
  } else {
    StopIfDone();
  }
}

void
LoadRun::StartCall(std::uint64_t aNumber, Millis aArrival)
{
  if (mCallsInFlight >= kMaxCallsInFlight) {
    mReport.CountDropped();
    return;
  }
  auto call = std::make_shared<Call>();
  call->mArrival = aArrival;
  call->mRetriesLeft = mOptions.mRetrySameKey;
  call->mCall = {
    .mAddress = mOptions.mAddresses[aNumber % mOptions.mAddresses.size()],
    .mRequest = { .mMethod = mOptions.mMethod,
                  .mPath = InsertCallNumber(mOptions.mPath, aNumber),
                  .mBody = InsertCallNumber(mOptions.mBody, aNumber) },
    .mTimeout = mOptions.mTimeout,
    // Prevents libcurl from retrying requests other than GET by itself, which
    // the report would not count as attempts.
    .mIdempotent = mOptions.mMethod == "GET"
  };
  HttpHeaders& headers = call->mCall.mRequest.mHeaders;
  if (!mOptions.mKeyPrefix.empty()) {
    headers.Add("Idempotency-Key",
                mOptions.mKeyPrefix + "-" + std::to_string(aNumber));
  }
  if (!mOptions.mCustomer.empty()) {
    headers.Add("Papayaway-Customer", mOptions.mCustomer);
  }
  if (mOptions.mDepth > 0) {
    headers.Add("Test-Depth", std::to_string(mOptions.mDepth));
  }
  ++mCallsInFlight;
  mReport.CountSent(SteadyNow() - aArrival);
  Send(call);
}

void
LoadRun::Send(const std::shared_ptr<Call>& aCall)
{
  mClient.Send(aCall->mCall, [this, aCall](const HttpResult& aResult) {
    OnResult(aCall, aResult);
  });
}

void
LoadRun::OnResult(const std::shared_ptr<Call>& aCall, const HttpResult& aResult)
{
  const bool answered = aResult.mFailure == HttpFailure::None;
  const int status = aResult.mResponse.mStatus;
  if (aCall->mRetriesLeft > 0 &&
      (!answered || status >= 500 || status == 429)) {
    --aCall->mRetriesLeft;
    mReport.CountRetry();
    mDelayed.RunAfter(kRetryDelay, [this, aCall] { Send(aCall); });
    return;
  }
  const bool isWrong =
    answered && status == 200 &&
    !IsResponseTo(aCall->mCall.mRequest, aResult.mResponse.mBody);
  mReport.CountResult(aResult, SteadyNow() - aCall->mArrival, isWrong);
  --mCallsInFlight;
  StopIfDone();
}

void
LoadRun::StopIfDone()
{
  if (!HasMoreArrivals() && mCallsInFlight == 0) {
    mLoop.Stop();
  }
}

} // namespace papayaway
