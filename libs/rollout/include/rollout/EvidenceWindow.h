#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** Sums over the calls of one span of time. */
struct EvidenceBucket
{
  Millis mFrom;
  Millis mTo;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
  double mLatencySum = 0;
  double mLatencySquareSum = 0;

  bool operator==(const EvidenceBucket&) const = default;

  /** Adds the sums of aOther and covers its span as well. */
  void Merge(const EvidenceBucket& aOther);
};

/**
 * The calls of one version, as reported by serving nodes, per route and data
 * centre in spans of time.
 *
 * Each report also counts towards the sums over all data centres and over
 * all routes, which are read with the empty string. The newest spans are one
 * second long; older ones are merged, so the memory per cell is bounded and
 * recent evidence has the finest resolution.
 */
class EvidenceWindow
{
public:
  struct Options
  {
    std::size_t mMaxCells = 2048;
    std::size_t mMaxBuckets = 64;
    Millis mBucketSpan = Seconds(1);
    /** Evidence older than this is dropped. */
    Millis mRetention = Seconds(900);
  };

  /** The evidence of one version in one place. */
  using Cell = std::vector<EvidenceBucket>;

  EvidenceWindow();
  explicit EvidenceWindow(Options aOptions);

  /** Adds one report.
   *  @param aDataCentre the data centre of the serving node.
   *  @param aNow the receiver's clock; reports count at their arrival. */
  void Add(const Evidence& aEvidence,
           const std::string& aDataCentre,
           Millis aNow);

  /** @return the spans from old to new; empty if nothing is known. Valid
   *    until the next Add().
   *  @param aRoute a route or "" for all.
   *  @param aDataCentre a data centre or "" for all. */
  [[nodiscard]] const Cell& Find(const std::string& aService,
                                 const std::string& aVersion,
                                 const std::string& aRoute,
                                 const std::string& aDataCentre) const;

  /** @return the data centres that reported on any of aVersions, sorted. */
  [[nodiscard]] std::vector<std::string> DataCentres(
    const std::string& aService,
    const std::vector<std::string>& aVersions) const;

  /** @return cells in use, for the metric. */
  [[nodiscard]] std::size_t CellCount() const { return mCells.size(); }

  /** @return reports refused because every cell was in use. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  using Key = std::tuple<std::string, std::string, std::string, std::string>;

  void AddTo(const Key& aKey, const EvidenceBucket& aBucket, Millis aNow);
  void DropOldCells(Millis aNow);

  Options mOptions;
  std::map<Key, Cell> mCells;
  std::uint64_t mDropped = 0;
};

} // namespace papayaway
