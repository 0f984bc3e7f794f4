#include "LatencyHistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace papayaway {

namespace {

// Each power of two of microseconds is divided into 128 buckets. 32 bits of
// microseconds cover 71 minutes.
constexpr std::uint64_t kPrecisionBits = 7;
constexpr std::uint64_t kSubBuckets = 1ULL << kPrecisionBits;
constexpr std::uint64_t kCoveredBits = 32;
constexpr std::uint64_t kBuckets =
  (kCoveredBits - kPrecisionBits + 1) * kSubBuckets;

std::uint64_t
BucketOf(std::uint64_t aMicros)
{
  if (aMicros < kSubBuckets) {
    return aMicros;
  }
  const auto shift =
    static_cast<std::uint64_t>(std::bit_width(aMicros)) - kPrecisionBits - 1;
  return std::min(kBuckets - 1, (shift << kPrecisionBits) + (aMicros >> shift));
}

// Returns the exclusive upper bound of the bucket in microseconds.
std::uint64_t
UpperBound(std::uint64_t aBucket)
{
  if (aBucket < 2 * kSubBuckets) {
    return aBucket + 1;
  }
  const std::uint64_t shift = (aBucket >> kPrecisionBits) - 1;
  return ((aBucket & (kSubBuckets - 1)) + kSubBuckets + 1) << shift;
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : mBuckets(kBuckets)
{
}

void
LatencyHistogram::Add(Millis aDuration)
{
  const double micros = std::max(0., aDuration.mCount * 1000);
  ++mBuckets[BucketOf(static_cast<std::uint64_t>(micros))];
  ++mCount;
  mMax = std::max(mMax, aDuration);
}

Millis
LatencyHistogram::Quantile(double aFraction) const
{
  const auto rank = static_cast<std::uint64_t>(
    std::ceil(aFraction * static_cast<double>(mCount)));
  std::uint64_t seen = 0;
  for (std::uint64_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += mBuckets[bucket];
    if (seen > 0 && seen >= rank) {
      const double micros = static_cast<double>(UpperBound(bucket));
      return std::min(mMax, Millis{ micros / 1000 });
    }
  }
  return mMax;
}

} // namespace papayaway
