#include "CrashSuspectTracker.h"

#include <algorithm>
#include <utility>

namespace papayaway {

void
CrashSuspectTracker::OnSent(CallId aCall, std::string aFingerprint, Millis aNow)
{
  mSent.emplace(aCall, SentCall{ std::move(aFingerprint), aNow });
}

void
CrashSuspectTracker::OnEnded(CallId aCall)
{
  mSent.erase(aCall);
}

void
CrashSuspectTracker::OnAnswered(CallId aCall)
{
  const auto found = mSent.find(aCall);
  if (found == mSent.end()) {
    return;
  }
  for (SentCall& broken : mBroken) {
    broken.mSurvived = broken.mSurvived || broken.mTime < found->second.mTime;
  }
  mSent.erase(found);
}

void
CrashSuspectTracker::Expire(Millis aNow)
{
  std::erase_if(mBroken, [&](const SentCall& aBroken) {
    return aNow - aBroken.mTime > (aBroken.mSurvived ? kWindow : kRetention);
  });
}

void
CrashSuspectTracker::OnBroken(CallId aCall, Millis aNow)
{
  const auto found = mSent.find(aCall);
  if (found == mSent.end()) {
    return;
  }
  Expire(aNow);
  if (mBroken.size() >= kMaxBroken) {
    mBroken.pop_front();
  }
  mBroken.push_back({ std::move(found->second.mFingerprint), aNow });
  mSent.erase(found);
}

std::vector<std::string>
CrashSuspectTracker::TakeSuspects(Millis aNow)
{
  Expire(aNow);
  std::vector<std::string> suspects;
  for (const SentCall& broken : mBroken) {
    suspects.push_back(broken.mFingerprint);
  }
  for (const auto& [call, sent] : mSent) {
    if (mBroken.empty() || sent.mTime <= mBroken.front().mTime) {
      suspects.push_back(sent.mFingerprint);
    }
  }
  mBroken.clear();
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

std::vector<std::string>
CrashSuspectTracker::InFlight() const
{
  std::vector<std::string> fingerprints;
  fingerprints.reserve(mSent.size());
  for (const auto& [call, sent] : mSent) {
    fingerprints.push_back(sent.mFingerprint);
  }
  return fingerprints;
}

} // namespace papayaway
