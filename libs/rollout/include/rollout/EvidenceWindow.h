#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** The calls of one time interval, aggregated. */
struct EvidenceBucket
{
  Millis mFrom;
  Millis mTo;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
  /** The sum of the latencies in milliseconds and of their squares. */
  double mLatencySum = 0;
  double mLatencySquareSum = 0;

  bool operator==(const EvidenceBucket&) const = default;

  /** Adds the calls of aOther and extends the interval to include its own. */
  void Merge(const EvidenceBucket& aOther);
};

/**
 * The calls that serving nodes reported, as a time series of buckets per
 * service, version, route and data centre.
 *
 * Each report is also added to the series of all data centres and of all
 * routes, which have the empty string in place of the name. The newest buckets
 * are one second long; older ones are merged, so the memory per series is
 * bounded and recent evidence has the finest resolution.
 */
class EvidenceWindow
{
public:
  struct Options
  {
    std::size_t mMaxSeries = 2048;
    std::size_t mMaxBuckets = 64;
    Millis mBucketSpan = Seconds(1);
    /** Buckets older than this are dropped. */
    Millis mRetention = Seconds(900);
  };

  /** The buckets of one service, version, route and data centre, from old to
   *  new. */
  using Series = std::vector<EvidenceBucket>;

  EvidenceWindow();
  explicit EvidenceWindow(Options aOptions);

  /** Adds one report.
   *  @param aEvidence the report.
   *  @param aDataCentre the data centre of the serving node.
   *  @param aNow the time of arrival by the receiver's clock, which decides
   *    the bucket. */
  void Add(const Evidence& aEvidence,
           const std::string& aDataCentre,
           Millis aNow);

  /** @param aRoute a route, or "" for all routes together.
   *  @param aDataCentre a data centre, or "" for all together.
   *  @return the series, which is empty if nothing was reported; valid until
   *    the next Add(). */
  [[nodiscard]] const Series& Find(const std::string& aService,
                                   const std::string& aVersion,
                                   const std::string& aRoute,
                                   const std::string& aDataCentre) const;

  /** @return the data centres that reported calls of any of aVersions,
   *    sorted. */
  [[nodiscard]] std::vector<std::string> DataCentres(
    const std::string& aService,
    const std::vector<std::string>& aVersions) const;

  /** @return the number of series in use. */
  [[nodiscard]] std::size_t SeriesCount() const { return mSeries.size(); }

  /** @return how often data for a new series was dropped because the limit of
   *    series was reached. One report updates up to four series. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  /** Service, version, route and data centre. */
  using Key = std::tuple<std::string, std::string, std::string, std::string>;

  void AddTo(const Key& aKey, const EvidenceBucket& aBucket, Millis aNow);
  void DropExpiredSeries(Millis aNow);

  Options mOptions;
  std::map<Key, Series> mSeries;
  std::uint64_t mDropped = 0;
};

} // namespace papayaway
