#include <gateway/CapLease.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** The lender waits this much longer, because the clocks of two hosts may run
 *  at slightly different rates. */
constexpr Millis kClockMargin{ 10 };
/** Limits the memory of a round; far above the planned number of nodes. */
constexpr std::size_t kMaxReporters = 5000;

} // namespace

bool
CapLender::TryLend(const CapCoordinator& aCoordinator, Millis aNow)
{
  if (mCoordinator && *mCoordinator != aCoordinator && aNow < mUntil) {
    return false;
  }
  mCoordinator = aCoordinator;
  mUntil = aNow + kCapLease + kClockMargin;
  return true;
}

std::uint64_t
CapLeases::StartRound(Millis aNow)
{
  while (!mRounds.empty() && aNow >= mRounds.front().mSentAt + kCapLease) {
    mRounds.pop_front();
  }
  mRounds.push_back({ .mNumber = ++mLastNumber, .mSentAt = aNow, .mLent = {} });
  return mLastNumber;
}

void
CapLeases::OnLent(std::uint64_t aRound,
                  const std::string& aNode,
                  double aShare,
                  Millis aNow)
{
  const auto round =
    std::find_if(mRounds.begin(), mRounds.end(), [&](const Round& aCandidate) {
      return aCandidate.mNumber == aRound;
    });
  if (round == mRounds.end() || aNow >= round->mSentAt + kCapLease ||
      (round->mLent.size() >= kMaxReporters && !round->mLent.contains(aNode))) {
    return;
  }
  double& lent = round->mLent[aNode];
  if (aShare > lent) {
    round->mTotal += aShare - lent;
    lent = aShare;
  }
}

double
CapLeases::Share(Millis aNow) const
{
  // The parts lent for different rounds are mostly the same ones, so they are
  // not added.
  double share = 0;
  for (const Round& round : mRounds) {
    if (aNow < round.mSentAt + kCapLease) {
      share = std::max(share, round.mTotal);
    }
  }
  return std::min(share, 1.0);
}

} // namespace papayaway::gateway
