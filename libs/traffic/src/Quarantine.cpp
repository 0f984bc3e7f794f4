#include <traffic/Quarantine.h>

#include <algorithm>
#include <iterator>

#include <base/Hash.h>

namespace papayaway {

namespace {

/** A crash is conclusive if only one suspect is left, because all others have
 *  run since. A request is the cause of crashes if this many are conclusive. */
constexpr int kMinConclusiveCrashes = 2;
/** A request is the cause if it was in flight at this many crashes or more, and
 *  no other request is a suspect of all of them. */
constexpr int kMinCommonCrashes = 3;

bool
Contains(const std::vector<std::string>& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

std::string
RequestFingerprint(const RequestIdentity& aIdentity)
{
  // Each hash seeds the next, so that moving a byte from one part to the next
  // changes the result.
  std::uint64_t hash = Hash64(aIdentity.mService);
  hash = Hash64(aIdentity.mRoute, hash);
  if (!aIdentity.mKey.empty()) {
    return HexDigits(Hash64(aIdentity.mKey, hash));
  }
  for (const std::string_view part : { aIdentity.mMethod,
                                       aIdentity.mPath,
                                       aIdentity.mQuery,
                                       aIdentity.mBody }) {
    hash = Hash64(part, hash + 1);
  }
  return HexDigits(hash);
}

std::size_t
Quarantine::StringHash::operator()(std::string_view aText) const
{
  return Hash64(aText);
}

std::vector<QuarantineFact>
Quarantine::OnCrash(const CrashReport& aReport, Millis aWallNow)
{
  std::vector<QuarantineFact> facts;
  const bool known = std::any_of(
    mCrashes.begin(), mCrashes.end(), [&](const CrashEvidence& aCrash) {
      return aCrash.mId == aReport.mId;
    });
  // A quarantined request that was still in flight is taken as the cause.
  const bool explained = std::any_of(
    aReport.mFingerprints.begin(),
    aReport.mFingerprints.end(),
    [&](const std::string& aText) { return IsQuarantined(aText, aWallNow); });
  if (known || explained || aReport.mFingerprints.empty() ||
      aReport.mFingerprints.size() > kMaxFingerprints) {
    return facts;
  }
  if (mCrashes.size() >= kMaxCrashes) {
    ClearSuspects(mCrashes.front());
    mCrashes.pop_front();
  }
  CrashEvidence crash{ aReport.mId, aReport.mService, aWallNow, {} };
  for (const std::string& fingerprint : aReport.mFingerprints) {
    if (!Contains(crash.mSuspects, fingerprint)) {
      crash.mSuspects.push_back(fingerprint);
      SuspectState& suspect = mSuspects[fingerprint];
      ++suspect.mCrashes;
      suspect.mLastCrash = aWallNow;
    }
  }
  const std::vector<std::string> suspects = crash.mSuspects;
  mCrashes.push_back(std::move(crash));
  for (const std::string& fingerprint : suspects) {
    Evaluate(fingerprint, aWallNow, facts);
  }
  return facts;
}

std::vector<QuarantineFact>
Quarantine::OnRan(const std::string& aFingerprint, Millis aWallNow)
{
  std::vector<QuarantineFact> facts;
  if (!IsSuspect(aFingerprint)) {
    return facts;
  }
  std::vector<std::string> remaining;
  for (CrashEvidence& crash : mCrashes) {
    if (Contains(crash.mSuspects, aFingerprint)) {
      RemoveSuspect(crash, aFingerprint);
      remaining.insert(
        remaining.end(), crash.mSuspects.begin(), crash.mSuspects.end());
    }
  }
  for (const std::string& fingerprint : remaining) {
    Evaluate(fingerprint, aWallNow, facts);
  }
  return facts;
}

void
Quarantine::Evaluate(const std::string& aFingerprint,
                     Millis aWallNow,
                     std::vector<QuarantineFact>& aFacts)
{
  const auto suspect = mSuspects.find(aFingerprint);
  if (suspect == mSuspects.end() ||
      suspect->second.mCrashes < kMinConclusiveCrashes) {
    return;
  }
  int conclusive = 0;
  std::vector<std::string> commonSuspects;
  std::string service;
  bool first = true;
  for (const CrashEvidence& crash : mCrashes) {
    if (!Contains(crash.mSuspects, aFingerprint)) {
      continue;
    }
    conclusive += crash.mSuspects.size() == 1 ? 1 : 0;
    if (first) {
      commonSuspects = crash.mSuspects;
      first = false;
    } else {
      std::erase_if(commonSuspects, [&](const std::string& aText) {
        return !Contains(crash.mSuspects, aText);
      });
    }
    service = crash.mService;
  }
  const bool commonToAll =
    suspect->second.mCrashes >= kMinCommonCrashes && commonSuspects.size() == 1;
  if (conclusive < kMinConclusiveCrashes && !commonToAll) {
    return;
  }
  const auto known = mFacts.find(aFingerprint);
  QuarantineFact fact{
    .mFingerprint = aFingerprint,
    .mService = service,
    .mSequence = known == mFacts.end() ? 1 : known->second.mSequence + 1,
    .mExpires = aWallNow + kDuration,
  };
  Store(fact, aWallNow);
  ClearExplainedCrashes(aFingerprint);
  aFacts.push_back(std::move(fact));
}

void
Quarantine::ClearExplainedCrashes(const std::string& aFingerprint)
{
  for (CrashEvidence& crash : mCrashes) {
    if (Contains(crash.mSuspects, aFingerprint)) {
      ClearSuspects(crash);
    }
  }
}

void
Quarantine::RemoveSuspect(CrashEvidence& aCrash,
                          const std::string& aFingerprint)
{
  std::erase(aCrash.mSuspects, aFingerprint);
  const auto found = mSuspects.find(aFingerprint);
  if (found != mSuspects.end() && --found->second.mCrashes <= 0) {
    mSuspects.erase(found);
  }
}

void
Quarantine::ClearSuspects(CrashEvidence& aCrash)
{
  // A copy, because RemoveSuspect() changes the list.
  const std::vector<std::string> suspects = aCrash.mSuspects;
  for (const std::string& fingerprint : suspects) {
    RemoveSuspect(aCrash, fingerprint);
  }
}

void
Quarantine::Store(const QuarantineFact& aFact, Millis aWallNow)
{
  if (!mFacts.contains(aFact.mFingerprint) &&
      mFacts.size() >= kMaxQuarantined) {
    OnTick(aWallNow);
    if (mFacts.size() >= kMaxQuarantined) {
      mFacts.erase(std::min_element(mFacts.begin(),
                                    mFacts.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second.mExpires <
                                             aRight.second.mExpires;
                                    }));
    }
  }
  mFacts[aFact.mFingerprint] = aFact;
}

void
Quarantine::OnFact(const QuarantineFact& aFact, Millis aWallNow)
{
  const auto known = mFacts.find(aFact.mFingerprint);
  if (known != mFacts.end() && known->second.mSequence > aFact.mSequence) {
    return;
  }
  Store(aFact, aWallNow);
  if (IsQuarantined(aFact.mFingerprint, aWallNow) || aFact.mReleased) {
    ClearExplainedCrashes(aFact.mFingerprint);
  }
}

std::optional<QuarantineFact>
Quarantine::Release(const std::string& aFingerprint, Millis aWallNow)
{
  if (!IsQuarantined(aFingerprint, aWallNow)) {
    return std::nullopt;
  }
  QuarantineFact& fact = mFacts.at(aFingerprint);
  fact.mReleased = true;
  ++fact.mSequence;
  return fact;
}

void
Quarantine::OnTick(Millis aWallNow)
{
  while (!mCrashes.empty() &&
         (mCrashes.front().mSuspects.empty() ||
          aWallNow - mCrashes.front().mReportedAt > kDuration)) {
    ClearSuspects(mCrashes.front());
    mCrashes.pop_front();
  }
  std::erase_if(mFacts, [&](const auto& aEntry) {
    return aEntry.second.mExpires <= aWallNow;
  });
}

QuarantineDecision
Quarantine::Check(std::string_view aFingerprint,
                  std::span<const std::string> aInFlight,
                  Millis aWallNow) const
{
  if (IsQuarantined(aFingerprint, aWallNow)) {
    return QuarantineDecision::Refuse;
  }
  const auto suspect = mSuspects.find(aFingerprint);
  if (suspect == mSuspects.end()) {
    return QuarantineDecision::Run;
  }
  if (suspect->second.mCrashes >= kMinConclusiveCrashes &&
      aWallNow - suspect->second.mLastCrash < kDeferDuration) {
    return QuarantineDecision::Defer;
  }
  const bool suspectInFlight =
    std::any_of(aInFlight.begin(),
                aInFlight.end(),
                [&](const std::string& aOther) { return IsSuspect(aOther); });
  return suspectInFlight ? QuarantineDecision::Isolate
                         : QuarantineDecision::Run;
}

bool
Quarantine::IsQuarantined(std::string_view aFingerprint, Millis aWallNow) const
{
  const auto found = mFacts.find(aFingerprint);
  return found != mFacts.end() && !found->second.mReleased &&
         found->second.mExpires > aWallNow;
}

bool
Quarantine::IsSuspect(std::string_view aFingerprint) const
{
  return mSuspects.find(aFingerprint) != mSuspects.end();
}

std::vector<CrashEvidence>
Quarantine::Crashes() const
{
  std::vector<CrashEvidence> crashes;
  std::copy_if(
    mCrashes.begin(),
    mCrashes.end(),
    std::back_inserter(crashes),
    [](const CrashEvidence& aCrash) { return !aCrash.mSuspects.empty(); });
  return crashes;
}

std::vector<QuarantineFact>
Quarantine::Quarantined(Millis aWallNow) const
{
  std::vector<QuarantineFact> facts;
  for (const auto& [fingerprint, fact] : mFacts) {
    if (IsQuarantined(fingerprint, aWallNow)) {
      facts.push_back(fact);
    }
  }
  return facts;
}

} // namespace papayaway
