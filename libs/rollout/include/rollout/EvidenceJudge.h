#pragma once

#include <string>
#include <vector>

#include <rollout/EvidenceWindow.h>

namespace papayaway {

/** The judgement of a new version. */
enum class Judgement
{
  /** The stage has enough calls, and no fault was found. */
  Healthy,
  /** Failures or latency exceed those of the old versions. */
  Faulty,
  /** No fault was found, but the stage has too few calls. */
  InsufficientEvidence,
};

struct Verdict
{
  Judgement mJudgement = Judgement::InsufficientEvidence;
  /** Text for operators: the fault with its route and data centre, or which
   *  evidence is missing. */
  std::string mReason;

  bool operator==(const Verdict&) const = default;
};

struct JudgeOptions
{
  /** The calls of a stage that are required on each route with traffic. */
  std::uint64_t mMinCallsPerRoute = 20;
  /** The upper limit of the calls that are required in each data centre with
   *  traffic on the route. With many data centres mMinCallsPerRoute is divided
   *  among them. */
  std::uint64_t mMaxRequiredCallsPerDataCentre = 5;
  /** The CUSUM threshold: the sum of log-likelihood ratios that proves a
   *  fault. By Wald's bound a healthy version exceeds it once in about
   *  e^15.5 = 5 million calls. It is reached by 4 failures in a row if the
   *  expected failure rate is 1%, and by 3 if that is 0.2%. */
  double mFailureThreshold = 15.5;
  /** The calls of each version that a comparison of latency requires. */
  std::uint64_t mMinLatencyCalls = 8;
  /** The ratio of mean latencies, new to old, above which the new version can
   *  be faulty. */
  double mLatencyFactor = 2;
  /** The number of standard errors by which the mean latency must be higher. */
  double mLatencyStandardErrors = 5;
  /** The difference by which the mean latency must be higher; less can be due
   *  to the clock and the network. */
  Millis mMinLatencyIncrease{ 1 };
  /** The number of buckets over which the latency must be high, so that a
   *  cold start of one or two seconds is no fault. */
  std::size_t mMinLatencyBuckets = 3;
};

/** Which versions to compare: the new one with the old ones on the same
 *  routes. */
struct JudgeRequest
{
  std::string mService;
  std::string mNewVersion;
  std::vector<std::string> mOldVersions;
  std::vector<std::string> mRoutes;
  /** When this node first saw the move, by the clock of the window. Older
   *  evidence on the new version belongs to an earlier attempt. */
  Millis mMoveFirstSeen;
  /** When this node first saw the current stage. Only calls from then on
   *  count towards the calls that a stage requires. */
  Millis mStageFirstSeen;
};

/**
 * Compares a new version with the old ones per route and data centre.
 *
 * Failures are judged by two CUSUM tests over the new version's calls, one
 * that detects that most calls fail and one that detects that about a tenth
 * fail. The expected failure rate is that of the old versions over the whole
 * window or around the same time, whichever is higher, so that an outage of a
 * shared dependency is not taken for a fault of the new version. Latency is
 * judged by the mean of the newest mMinLatencyBuckets buckets, then of twice
 * as many, and so on up to the whole series.
 */
class EvidenceJudge
{
public:
  EvidenceJudge() = default;
  explicit EvidenceJudge(JudgeOptions aOptions)
    : mOptions(aOptions)
  {
  }

  [[nodiscard]] Verdict Judge(const EvidenceWindow& aWindow,
                              const JudgeRequest& aRequest) const;

private:
  /** @return a description of the fault for Verdict::mReason, or "". */
  [[nodiscard]] std::string FindFailures(
    const EvidenceWindow::Series& aNewSeries,
    const EvidenceWindow::Series& aOldSeries) const;
  /** @return a description of the fault for Verdict::mReason, or "". */
  [[nodiscard]] std::string FindSlowness(
    const EvidenceWindow::Series& aNewSeries,
    const EvidenceWindow::Series& aOldSeries) const;

  JudgeOptions mOptions;
};

} // namespace papayaway
