#include <gateway/CapPool.h>

#include <algorithm>
#include <cmath>

namespace papayaway::gateway {

namespace {

/** The time after which a backlog has decayed to 1/e. Whoever still lacks
 *  tokens requests them again within it. */
constexpr Millis kBacklogDecay{ 250 };
/** The expected wait while no share is lent to the coordinator. */
constexpr Millis kNoShareWait{ 500 };
constexpr Millis kMaxWait = Seconds(5);

} // namespace

void
CapPool::SetTerms(const std::map<std::string, CapTerms>& aTerms, Millis aNow)
{
  Advance(mShare, aNow);
  std::map<std::string, Bucket> buckets;
  for (const auto& [tenant, terms] : aTerms) {
    Bucket& bucket = buckets[tenant];
    bucket.mShareTime = mShareTime;
    if (const auto known = mBuckets.find(tenant); known != mBuckets.end()) {
      Refill(known->second);
      bucket = known->second;
      bucket.mTokens = std::min(bucket.mTokens, terms.mDepth * mShare);
    }
    bucket.mTerms = terms;
  }
  mBuckets = std::move(buckets);
}

void
CapPool::Advance(double aShare, Millis aNow)
{
  if (aNow > mAdvancedAt) {
    mShareTime += aShare * (aNow - mAdvancedAt).mCount / 1000;
    mAdvancedAt = aNow;
  }
}

void
CapPool::Refill(Bucket& aBucket) const
{
  aBucket.mTokens = std::min(
    aBucket.mTokens + aBucket.mTerms.mRate * (mShareTime - aBucket.mShareTime),
    aBucket.mTerms.mDepth * mShare);
  aBucket.mShareTime = mShareTime;
}

void
CapPool::SetShare(double aShare, Millis aNow)
{
  if (aShare == mShare) {
    return;
  }
  // It is not known when a lower share began to apply.
  Advance(std::min(aShare, mShare), aNow);
  // A bucket is limited by the lower share: when the share rises, before the
  // change, and when it falls, after it.
  const double lower = std::min(aShare, mShare);
  mShare = lower;
  for (auto& [tenant, bucket] : mBuckets) {
    Refill(bucket);
  }
  mShare = aShare;
}

CapGrant
CapPool::Take(const std::string& aTenant, std::uint32_t aRequested, Millis aNow)
{
  const auto found = mBuckets.find(aTenant);
  if (found == mBuckets.end()) {
    return { .mWait = kNoShareWait };
  }
  Advance(mShare, aNow);
  Bucket& bucket = found->second;
  Refill(bucket);
  const auto tokens = static_cast<std::uint32_t>(
    std::min<double>(aRequested, std::floor(bucket.mTokens)));
  bucket.mTokens -= tokens;
  bucket.mBacklog *=
    std::exp(-std::max(0.0, (aNow - bucket.mBacklogAt) / kBacklogDecay));
  bucket.mBacklogAt = aNow;
  if (tokens == aRequested) {
    return { .mTokens = tokens };
  }
  bucket.mBacklog += aRequested - tokens;
  const double rate = bucket.mTerms.mRate * mShare;
  const Millis wait =
    rate > 0 ? Seconds(std::max(0.0, bucket.mBacklog - bucket.mTokens) / rate)
             : kNoShareWait;
  return { .mTokens = tokens, .mWait = std::min(wait, kMaxWait) };
}

} // namespace papayaway::gateway
