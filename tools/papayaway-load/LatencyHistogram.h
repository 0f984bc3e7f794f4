#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <base/Millis.h>

namespace papayaway {

/** Counts durations in buckets that are at most 0.8% wide, from 1 µs to more
 *  than an hour, in constant memory. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(Millis aDuration);

  /** @return the lowest upper bound of a bucket that is not exceeded by
   *    aFraction of the durations; at most Max(). */
  [[nodiscard]] Millis Quantile(double aFraction) const;

  [[nodiscard]] Millis Max() const { return mMax; }
  [[nodiscard]] std::uint64_t Count() const { return mCount; }

private:
  std::vector<std::uint64_t> mBuckets;
  std::uint64_t mCount = 0;
  Millis mMax;
};

} // namespace papayaway
