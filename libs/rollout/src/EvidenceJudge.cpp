#include <rollout/EvidenceJudge.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace papayaway {
namespace {

using Series = EvidenceWindow::Series;

/** Failures and calls that are added to those of the old version. Together with
 *  the error term in UpperFailureRate() they give a rate of 1% if the old
 *  version has no calls yet. */
constexpr double kPriorFailures = 2;
constexpr double kPriorCalls = 400;
/** The lower limit of the expected failure rate. */
constexpr double kMinExpectedRate = 0.002;
/** The largest difference between the arrival times of two reports on the same
 *  event, one for each version. */
constexpr Millis kReportSkew = Seconds(3);

EvidenceBucket
SumBuckets(const Series& aSeries, Millis aFrom, Millis aTo)
{
  EvidenceBucket sum{ .mFrom = aFrom, .mTo = aTo };
  for (const EvidenceBucket& bucket : aSeries) {
    if (bucket.mTo > aFrom && bucket.mFrom < aTo) {
      sum.Merge(bucket);
    }
  }
  return sum;
}

/** @return an upper estimate of the failure rate of the old version. With the
 *    plain rate a healthy version was taken back because the old one had by
 *    chance failed less often than its true rate (2 of 586 calls at 1%). */
double
UpperFailureRate(const EvidenceBucket& aSum)
{
  const auto failures = static_cast<double>(aSum.mFailures);
  return (failures + kPriorFailures + 2 * std::sqrt(failures + 1)) /
         (static_cast<double>(aSum.mCalls) + kPriorCalls);
}

double
Mean(const EvidenceBucket& aSum)
{
  return aSum.mLatencySum / static_cast<double>(aSum.mCalls);
}

double
Variance(const EvidenceBucket& aSum)
{
  return std::max(0.0,
                  aSum.mLatencySquareSum / static_cast<double>(aSum.mCalls) -
                    Mean(aSum) * Mean(aSum));
}

Series
BucketsSince(const Series& aSeries, Millis aFrom)
{
  Series series;
  std::copy_if(
    aSeries.begin(),
    aSeries.end(),
    std::back_inserter(series),
    [&](const EvidenceBucket& aBucket) { return aBucket.mTo > aFrom; });
  return series;
}

std::uint64_t
CallsSince(const Series& aSeries, Millis aFrom)
{
  std::uint64_t calls = 0;
  for (const EvidenceBucket& bucket : aSeries) {
    calls += bucket.mFrom >= aFrom ? bucket.mCalls : 0;
  }
  return calls;
}

Series
MergeOldVersions(const EvidenceWindow& aWindow,
                 const JudgeRequest& aRequest,
                 const std::string& aRoute,
                 const std::string& aDataCentre)
{
  Series merged;
  for (const std::string& version : aRequest.mOldVersions) {
    const Series& series =
      aWindow.Find(aRequest.mService, version, aRoute, aDataCentre);
    merged.insert(merged.end(), series.begin(), series.end());
  }
  return merged;
}

std::string
DescribeScope(const std::string& aRoute, const std::string& aDataCentre)
{
  return (aRoute.empty() ? "all routes" : "route " + aRoute) +
         (aDataCentre.empty() ? "" : " in " + aDataCentre);
}

} // namespace

std::string
EvidenceJudge::FindFailures(const Series& aNewSeries,
                            const Series& aOldSeries) const
{
  if (std::none_of(aNewSeries.begin(),
                   aNewSeries.end(),
                   [](const auto& aBucket) { return aBucket.mFailures > 0; })) {
    return "";
  }
  const EvidenceBucket total = SumBuckets(aOldSeries, Millis{}, Never());
  // The CUSUM sums of the two tests: most calls fail, about a tenth fails.
  double majoritySum = 0;
  double tenthSum = 0;
  // The calls since both sums were last 0.
  EvidenceBucket sinceReset{ .mFrom = Never() };
  for (const EvidenceBucket& bucket : aNewSeries) {
    // A bucket without failures lowers both sums at any expected rate, so the
    // rate around that time is not needed.
    const EvidenceBucket concurrent = bucket.mFailures == 0
                                        ? EvidenceBucket{}
                                        : SumBuckets(aOldSeries,
                                                     bucket.mFrom - kReportSkew,
                                                     bucket.mTo + kReportSkew);
    const double expectedRate = std::max(
      { kMinExpectedRate,
        UpperFailureRate(total),
        // One failure among few calls is weak evidence of an outage, so it is
        // ignored, and two calls are added to the denominator.
        concurrent.mFailures > 1 ? static_cast<double>(concurrent.mFailures) /
                                     static_cast<double>(concurrent.mCalls + 2)
                                 : 0 });
    const auto calls = static_cast<double>(bucket.mCalls);
    const auto failures = static_cast<double>(bucket.mFailures);
    const auto addEvidence = [&](double& aSum, double aFaultyRate) {
      aSum +=
        failures * std::log(aFaultyRate / expectedRate) +
        (calls - failures) * std::log((1 - aFaultyRate) / (1 - expectedRate));
      aSum = std::max(aSum, 0.0);
    };
    if (expectedRate > 0.9) {
      // Nearly all calls of the old version fail too, so the versions can't be
      // told apart.
      majoritySum = tenthSum = 0;
      continue;
    }
    const double majorityRate = expectedRate + (1 - expectedRate) / 2;
    addEvidence(majoritySum, majorityRate);
    addEvidence(tenthSum, std::min(majorityRate, 0.1 + 3 * expectedRate));
    if (majoritySum <= 0 && tenthSum <= 0) {
      sinceReset = EvidenceBucket{ .mFrom = Never() };
    } else {
      sinceReset.Merge(bucket);
    }
    if (std::max(majoritySum, tenthSum) >= mOptions.mFailureThreshold) {
      return std::to_string(sinceReset.mFailures) + " of " +
             std::to_string(sinceReset.mCalls) + " calls failed, old version " +
             std::to_string(total.mFailures) + " of " +
             std::to_string(total.mCalls);
    }
  }
  return "";
}

std::string
EvidenceJudge::FindSlowness(const Series& aNewSeries,
                            const Series& aOldSeries) const
{
  for (std::size_t wantedBuckets = mOptions.mMinLatencyBuckets;
       !aNewSeries.empty();
       wantedBuckets *= 2) {
    const std::size_t usedBuckets = std::min(wantedBuckets, aNewSeries.size());
    const Series newest(aNewSeries.end() -
                          static_cast<std::ptrdiff_t>(usedBuckets),
                        aNewSeries.end());
    const EvidenceBucket recent = SumBuckets(newest, Millis{}, Never());
    if (usedBuckets >= mOptions.mMinLatencyBuckets &&
        recent.mCalls >= mOptions.mMinLatencyCalls) {
      // Compares with the higher of the old version's recent and overall mean,
      // because a few recent calls can be fast by chance.
      const EvidenceBucket total = SumBuckets(aOldSeries, Millis{}, Never());
      if (total.mCalls < mOptions.mMinLatencyCalls) {
        return "";
      }
      const EvidenceBucket concurrentOld =
        SumBuckets(aOldSeries, newest.front().mFrom - Seconds(10), Never());
      const bool isComparable =
        concurrentOld.mCalls >= mOptions.mMinLatencyCalls;
      const EvidenceBucket& old =
        isComparable && Mean(concurrentOld) > Mean(total) ? concurrentOld
                                                          : total;
      const double increase = Mean(recent) - Mean(old);
      const double error = std::sqrt(
        Variance(old) / static_cast<double>(old.mCalls) +
        std::max({ Variance(recent), Variance(old), Variance(total) }) /
          static_cast<double>(recent.mCalls));
      if (Mean(recent) > mOptions.mLatencyFactor * Mean(old) &&
          increase > mOptions.mMinLatencyIncrease.mCount &&
          increase > mOptions.mLatencyStandardErrors * error) {
        char text[96];
        std::snprintf(text,
                      sizeof text,
                      "mean latency %.1f ms, old version %.1f ms",
                      Mean(recent),
                      Mean(old));
        return text;
      }
    }
    if (usedBuckets == aNewSeries.size()) {
      break;
    }
  }
  return "";
}

Verdict
EvidenceJudge::Judge(const EvidenceWindow& aWindow,
                     const JudgeRequest& aRequest) const
{
  std::vector<std::string> versions = aRequest.mOldVersions;
  versions.push_back(aRequest.mNewVersion);
  std::vector<std::string> dataCentres =
    aWindow.DataCentres(aRequest.mService, versions);
  dataCentres.insert(dataCentres.begin(), "");
  std::vector<std::string> routes = aRequest.mRoutes;
  routes.insert(routes.begin(), "");

  // The data centres share the budget of a stage on a non-idempotent route
  // (ExposureBudget), so each of them gets only a part of those calls.
  const std::uint64_t perDataCentre = std::clamp<std::uint64_t>(
    mOptions.mMinCallsPerRoute /
      std::max<std::size_t>(1, dataCentres.size() - 1),
    1,
    mOptions.mMaxRequiredCallsPerDataCentre);

  std::string missing;
  for (const std::string& route : routes) {
    for (const std::string& dataCentre : dataCentres) {
      const Series newSeries = BucketsSince(
        aWindow.Find(
          aRequest.mService, aRequest.mNewVersion, route, dataCentre),
        aRequest.mMoveFirstSeen);
      const Series localOld =
        MergeOldVersions(aWindow, aRequest, route, dataCentre);
      // Where the data centre has no calls of the old versions, those of all
      // data centres are used.
      const Series old = localOld.empty()
                           ? MergeOldVersions(aWindow, aRequest, route, "")
                           : localOld;
      std::string fault = FindFailures(newSeries, old);
      // The versions get different mixes of routes, so the mean latency over
      // all routes can't be compared.
      if (fault.empty() && !route.empty()) {
        fault = FindSlowness(newSeries, old);
      }
      if (!fault.empty()) {
        return { Judgement::Faulty,
                 DescribeScope(route, dataCentre) + ": " + fault };
      }
      const std::uint64_t needed =
        dataCentre.empty() ? mOptions.mMinCallsPerRoute : perDataCentre;
      const bool hasCalls = !localOld.empty() || !newSeries.empty();
      const std::uint64_t calls =
        CallsSince(newSeries, aRequest.mStageFirstSeen);
      if (missing.empty() && !route.empty() && hasCalls && calls < needed) {
        missing = DescribeScope(route, dataCentre) + ": " +
                  std::to_string(calls) + " of " + std::to_string(needed) +
                  " calls";
      }
    }
  }
  if (!missing.empty()) {
    return { Judgement::InsufficientEvidence, missing };
  }
  const Series& allCalls =
    aWindow.Find(aRequest.mService, aRequest.mNewVersion, "", "");
  if (CallsSince(allCalls, aRequest.mStageFirstSeen) <
      mOptions.mMinCallsPerRoute) {
    return { Judgement::InsufficientEvidence,
             "too few calls of the new version" };
  }
  return { Judgement::Healthy, "" };
}

} // namespace papayaway
