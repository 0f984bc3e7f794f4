#include <gateway/LeaveAcknowledgements.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

void
LeaveAcknowledgements::Wait(std::uint64_t aSequence,
                            std::size_t aOthers,
                            Millis aNow,
                            Answer aAnswer)
{
  mWaiting.push_back({ .mSequence = aSequence,
                       .mOthers = aOthers,
                       .mSince = aNow,
                       .mAnswer = std::move(aAnswer) });
  AnswerDue(aNow);
}

void
LeaveAcknowledgements::OnStored(std::uint64_t aSequence)
{
  mStored = std::max(mStored, aSequence);
  std::erase_if(mCopied,
                [&](const auto& aEntry) { return aEntry.second <= mStored; });
  AnswerDue(mNow);
}

void
LeaveAcknowledgements::OnStoreFailed()
{
  for (Waiting& waiting : mWaiting) {
    waiting.mStoreFailed = true;
  }
  AnswerDue(mNow);
}

void
LeaveAcknowledgements::OnCopied(const std::string& aNode,
                                std::uint64_t aSequence)
{
  std::uint64_t& copied = mCopied[aNode];
  copied = std::max(copied, aSequence);
  AnswerDue(mNow);
}

void
LeaveAcknowledgements::OnTick(Millis aNow)
{
  AnswerDue(aNow);
}

bool
LeaveAcknowledgements::IsKept(const Waiting& aWaiting) const
{
  if (mStored >= aWaiting.mSequence) {
    return true;
  }
  const auto copies = static_cast<std::size_t>(
    std::count_if(mCopied.begin(), mCopied.end(), [&](const auto& aEntry) {
      return aEntry.second >= aWaiting.mSequence;
    }));
  const bool storeIsLate =
    aWaiting.mStoreFailed || mNow - aWaiting.mSince >= mOptions.mStoreTime;
  return storeIsLate && copies > 0 &&
         copies >= std::min(mOptions.mCopies, aWaiting.mOthers);
}

void
LeaveAcknowledgements::AnswerDue(Millis aNow)
{
  mNow = std::max(mNow, aNow);
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const bool kept = IsKept(*it);
    if (!kept && mNow - it->mSince < mOptions.mLimit) {
      ++it;
      continue;
    }
    const Answer answer = std::move(it->mAnswer);
    it = mWaiting.erase(it);
    answer(kept);
  }
}

} // namespace papayaway::gateway
