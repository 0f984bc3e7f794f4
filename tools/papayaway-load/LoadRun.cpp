#include "LoadRun.h"

#include <cmath>

namespace papayaway {

namespace {

constexpr std::uint64_t kMaxOpen = 100'000;
constexpr Millis kRetryDelay{ 50 };

std::string
WithNumber(std::string aText, std::uint64_t aNumber)
{
  constexpr std::string_view kPlace = "{n}";
  const std::string digits = std::to_string(aNumber);
  for (std::size_t at = aText.find(kPlace); at != std::string::npos;
       at = aText.find(kPlace, at + digits.size())) {
    aText.replace(at, kPlace.size(), digits);
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
  SendDue();
}

void
LoadRun::StopArrivals()
{
  mStopped = true;
  StopIfDone();
}

bool
LoadRun::HasArrivals() const
{
  if (mStopped) {
    return false;
  }
  return mOptions.mCount > 0 ? mArrivals < mOptions.mCount
                             : mNextArrival < mStart + mOptions.mDuration;
}

void
LoadRun::SendDue()
{
  while (HasArrivals() && mNextArrival <= SteadyNow()) {
    Arrive(mArrivals++, mNextArrival);
    // Exponential gaps make a Poisson process.
    mNextArrival +=
      Seconds(-std::log(1 - UniformFraction(mRandom)) / mOptions.mRate);
  }
  if (HasArrivals()) {
    mDelayed.RunAt(mNextArrival, [this] { SendDue(); });
  } else {
    StopIfDone();
  }
}

void
LoadRun::Arrive(std::uint64_t aNumber, Millis aArrival)
{
  if (mOpen >= kMaxOpen) {
    mReport.CountDropped();
    return;
  }
  auto call = std::make_shared<Call>();
  call->mArrival = aArrival;
  call->mRetriesLeft = mOptions.mRetrySameKey;
  call->mCall = {
    .mAddress = mOptions.mAddresses[aNumber % mOptions.mAddresses.size()],
    .mRequest = { .mMethod = mOptions.mMethod,
                  .mPath = WithNumber(mOptions.mPath, aNumber),
                  .mBody = WithNumber(mOptions.mBody, aNumber) },
    .mTimeout = mOptions.mTimeout,
    // The report counts attempts, so the library must not add any.
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
  ++mOpen;
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
    !IsAnswerTo(aCall->mCall.mRequest, aResult.mResponse.mBody);
  mReport.CountEnd(aResult, SteadyNow() - aCall->mArrival, isWrong);
  --mOpen;
  StopIfDone();
}

void
LoadRun::StopIfDone()
{
  if (!HasArrivals() && mOpen == 0) {
    mLoop.Stop();
  }
}

} // namespace papayaway
