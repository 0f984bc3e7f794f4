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

  /** @return the smallest bucket's upper bound that aFraction of the
   *    durations do not exceed; never more than Max(). */
  [[nodiscard]] Millis Quantile(double aFraction) const;

  [[nodiscard]] Millis Max() const { return mMax; }
  [[nodiscard]] std::uint64_t Count() const { return mCount; }

private:
  std::vector<std::uint64_t> mBuckets;
  std::uint64_t mCount = 0;
  Millis mMax;
};

} // namespace papayaway
