#include <gateway/FairShares.h>

#include <algorithm>

namespace papayaway::gateway {

namespace {

/** The smallest weight, so that a tenant with a tiny one is still served. */
constexpr double kMinWeight = 1e-3;
/** The number of tenants from which on all uses are forgotten, so that all
 * start equal. It is twice the number of keys that a node is planned for. */
constexpr std::size_t kMaxTenants = 20000;
/** The smallest size at which unneeded next tags are removed. */
constexpr std::size_t kMinCleanUpSize = 128;

double
Cost(double aWeight, Millis aRunTime)
{
  return std::max(aRunTime.mCount, 1.0) / std::max(aWeight, kMinWeight);
}

} // namespace

double
FairShares::NextTag(const std::string& aTenant,
                    double aWeight,
                    Millis aRunTime) const
{
  if (aTenant.empty()) {
    return mStartedTag;
  }
  const double least = mStartedTag - kSavedRequests * Cost(aWeight, aRunTime);
  const auto found = mUses.find(aTenant);
  return found == mUses.end() ? least : std::max(least, found->second.mNextTag);
}

double
FairShares::Add(const std::string& aTenant, double aWeight, Millis aRunTime)
{
  const double tag = NextTag(aTenant, aWeight, aRunTime);
  if (aTenant.empty()) {
    return tag;
  }
  if (mUses.size() >= mCleanUpSize) {
    std::erase_if(mUses, [this](const auto& aEntry) {
      return aEntry.second.mNextTag + aEntry.second.mSaved <= mStartedTag;
    });
    if (mUses.size() >= kMaxTenants) {
      mUses.clear();
    }
    mCleanUpSize =
      std::max(kMinCleanUpSize, std::min(mUses.size() * 2, kMaxTenants));
  }
  const double cost = Cost(aWeight, aRunTime);
  mUses[aTenant] = { .mNextTag = tag + cost, .mSaved = kSavedRequests * cost };
  return tag;
}

void
FairShares::OnStarted(double aTag)
{
  mStartedTag = std::max(mStartedTag, aTag);
}

void
FairShares::OnRemoved(const std::string& aTenant,
                      double aWeight,
                      Millis aRunTime)
{
  if (const auto found = mUses.find(aTenant); found != mUses.end()) {
    found->second.mNextTag -= Cost(aWeight, aRunTime);
  }
}

} // namespace papayaway::gateway
