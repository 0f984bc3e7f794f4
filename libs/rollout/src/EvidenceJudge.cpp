#include <rollout/EvidenceJudge.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace papayaway {
namespace {

using Cell = EvidenceWindow::Cell;

/** Assumed for the old version before it has calls, together with the error
 *  that is added to its count of failures: a rate of 1%. */
constexpr double kPriorFailures = 2;
constexpr double kPriorCalls = 400;
/** No version is expected to be better than this. */
constexpr double kLowestRate = 0.002;
/** Reports of the two versions on one event arrive this far apart. */
constexpr Millis kReportSkew = Seconds(3);

EvidenceBucket
Sum(const Cell& aCell, Millis aFrom, Millis aTo)
{
  EvidenceBucket sum{ .mFrom = aFrom, .mTo = aTo };
  for (const EvidenceBucket& bucket : aCell) {
    if (bucket.mTo > aFrom && bucket.mFrom < aTo) {
      sum.Merge(bucket);
    }
  }
  return sum;
}

/** @return an upper estimate of the old version's rate. With the plain rate a
 *    good version was taken back because the old one had failed too rarely by
 *    chance (2 of 586 calls at a true rate of 1%). */
double
ExpectedRate(const EvidenceBucket& aSum)
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

Cell
Since(const Cell& aCell, Millis aFrom)
{
  Cell cell;
  std::copy_if(
    aCell.begin(),
    aCell.end(),
    std::back_inserter(cell),
    [&](const EvidenceBucket& aBucket) { return aBucket.mTo > aFrom; });
  return cell;
}

std::uint64_t
CallsSince(const Cell& aCell, Millis aFrom)
{
  std::uint64_t calls = 0;
  for (const EvidenceBucket& bucket : aCell) {
    calls += bucket.mFrom >= aFrom ? bucket.mCalls : 0;
  }
  return calls;
}

Cell
FindOld(const EvidenceWindow& aWindow,
        const JudgeRequest& aRequest,
        const std::string& aRoute,
        const std::string& aDataCentre)
{
  Cell merged;
  for (const std::string& version : aRequest.mOld) {
    const Cell& cell =
      aWindow.Find(aRequest.mService, version, aRoute, aDataCentre);
    merged.insert(merged.end(), cell.begin(), cell.end());
  }
  return merged;
}

std::string
Place(const std::string& aRoute, const std::string& aDataCentre)
{
  return (aRoute.empty() ? "all routes" : "route " + aRoute) +
         (aDataCentre.empty() ? "" : " in " + aDataCentre);
}

} // namespace

std::string
EvidenceJudge::FindFailures(const Cell& aNew, const Cell& aOld) const
{
  if (std::none_of(aNew.begin(), aNew.end(), [](const auto& aBucket) {
        return aBucket.mFailures > 0;
      })) {
    return "";
  }
  const EvidenceBucket whole = Sum(aOld, Millis{}, Never());
  double most = 0;
  double some = 0;
  EvidenceBucket seen{ .mFrom = Never() };
  for (const EvidenceBucket& bucket : aNew) {
    // Calls without a failure lower the sums at any expected rate.
    const EvidenceBucket around =
      bucket.mFailures == 0
        ? EvidenceBucket{}
        : Sum(aOld, bucket.mFrom - kReportSkew, bucket.mTo + kReportSkew);
    const double normal =
      std::max({ kLowestRate,
                 ExpectedRate(whole),
                 // A few calls alone say little, so one failure among them
                 // does not raise the expectation much.
                 around.mFailures > 1 ? static_cast<double>(around.mFailures) /
                                          static_cast<double>(around.mCalls + 2)
                                      : 0 });
    const auto calls = static_cast<double>(bucket.mCalls);
    const auto failures = static_cast<double>(bucket.mFailures);
    const auto add = [&](double& aSum, double aFaulty) {
      aSum += failures * std::log(aFaulty / normal) +
              (calls - failures) * std::log((1 - aFaulty) / (1 - normal));
      aSum = std::max(aSum, 0.0);
    };
    if (normal > 0.9) {
      // Both versions fail; nothing can be told apart.
      most = some = 0;
      continue;
    }
    const double mostRate = normal + (1 - normal) / 2;
    add(most, mostRate);
    add(some, std::min(mostRate, 0.1 + 3 * normal));
    if (most <= 0 && some <= 0) {
      seen = EvidenceBucket{ .mFrom = Never() };
    } else {
      seen.Merge(bucket);
    }
    if (std::max(most, some) >= mOptions.mFailureThreshold) {
      return std::to_string(seen.mFailures) + " of " +
             std::to_string(seen.mCalls) + " calls failed, old version " +
             std::to_string(whole.mFailures) + " of " +
             std::to_string(whole.mCalls);
    }
  }
  return "";
}

std::string
EvidenceJudge::FindSlowness(const Cell& aNew, const Cell& aOld) const
{
  for (std::size_t count = mOptions.mLatencySpans; !aNew.empty(); count *= 2) {
    const std::size_t used = std::min(count, aNew.size());
    const Cell last(aNew.end() - static_cast<std::ptrdiff_t>(used), aNew.end());
    const EvidenceBucket recent = Sum(last, Millis{}, Never());
    if (used >= mOptions.mLatencySpans &&
        recent.mCalls >= mOptions.mLatencyCalls) {
      // The slower of the old version's recent and whole mean counts: a few
      // recent calls that were fast by chance prove nothing.
      const EvidenceBucket whole = Sum(aOld, Millis{}, Never());
      if (whole.mCalls < mOptions.mLatencyCalls) {
        return "";
      }
      const EvidenceBucket near =
        Sum(aOld, last.front().mFrom - Seconds(10), Never());
      const bool enough = near.mCalls >= mOptions.mLatencyCalls;
      const EvidenceBucket& old =
        enough && Mean(near) > Mean(whole) ? near : whole;
      const double rise = Mean(recent) - Mean(old);
      const double error = std::sqrt(
        Variance(old) / static_cast<double>(old.mCalls) +
        std::max({ Variance(recent), Variance(old), Variance(whole) }) /
          static_cast<double>(recent.mCalls));
      if (Mean(recent) > mOptions.mLatencyFactor * Mean(old) &&
          rise > mOptions.mLatencyRise.mCount &&
          rise > mOptions.mLatencySpread * error) {
        char text[96];
        std::snprintf(text,
                      sizeof text,
                      "mean latency %.1f ms, old version %.1f ms",
                      Mean(recent),
                      Mean(old));
        return text;
      }
    }
    if (used == aNew.size()) {
      break;
    }
  }
  return "";
}

Verdict
EvidenceJudge::Judge(const EvidenceWindow& aWindow,
                     const JudgeRequest& aRequest) const
{
  std::vector<std::string> versions = aRequest.mOld;
  versions.push_back(aRequest.mNew);
  std::vector<std::string> dataCentres =
    aWindow.DataCentres(aRequest.mService, versions);
  dataCentres.insert(dataCentres.begin(), "");
  std::vector<std::string> routes = aRequest.mRoutes;
  routes.insert(routes.begin(), "");

  // A stage's budget on a non-idempotent route is shared by the data centres.
  const std::uint64_t perDataCentre = std::clamp<std::uint64_t>(
    mOptions.mCallsPerRoute / std::max<std::size_t>(1, dataCentres.size() - 1),
    1,
    mOptions.mCallsPerDataCentre);

  std::string missing;
  for (const std::string& route : routes) {
    for (const std::string& dataCentre : dataCentres) {
      const Cell found =
        Since(aWindow.Find(aRequest.mService, aRequest.mNew, route, dataCentre),
              aRequest.mSince);
      const Cell local = FindOld(aWindow, aRequest, route, dataCentre);
      // A data centre without the old version is compared with the others.
      const Cell old =
        local.empty() ? FindOld(aWindow, aRequest, route, "") : local;
      std::string fault = FindFailures(found, old);
      // The mix of routes differs between versions, so latency is compared
      // on single routes only.
      if (fault.empty() && !route.empty()) {
        fault = FindSlowness(found, old);
      }
      if (!fault.empty()) {
        return { Judgement::Bad, Place(route, dataCentre) + ": " + fault };
      }
      const std::uint64_t needed =
        dataCentre.empty() ? mOptions.mCallsPerRoute : perDataCentre;
      const bool used = !local.empty() || !found.empty();
      const std::uint64_t calls = CallsSince(found, aRequest.mStageSince);
      if (missing.empty() && !route.empty() && used && calls < needed) {
        missing = Place(route, dataCentre) + ": " + std::to_string(calls) +
                  " of " + std::to_string(needed) + " calls";
      }
    }
  }
  if (!missing.empty()) {
    return { Judgement::NotEnough, missing };
  }
  const Cell& any = aWindow.Find(aRequest.mService, aRequest.mNew, "", "");
  if (CallsSince(any, aRequest.mStageSince) < mOptions.mCallsPerRoute) {
    return { Judgement::NotEnough, "too few calls of the new version" };
  }
  return { Judgement::Good, "" };
}

} // namespace papayaway
