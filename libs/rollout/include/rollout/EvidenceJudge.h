#pragma once

#include <string>
#include <vector>

#include <rollout/EvidenceWindow.h>

namespace papayaway {

enum class Judgement
{
  Good,
  Bad,
  NotEnough,
};

struct Verdict
{
  Judgement mJudgement = Judgement::NotEnough;
  /** For people: which fault, on which route and data centre, or what is
   *  missing. */
  std::string mReason;

  bool operator==(const Verdict&) const = default;
};

struct JudgeOptions
{
  /** Good calls of a stage that are enough on one route. */
  std::uint64_t mCallsPerRoute = 20;
  /** The same in each data centre that has traffic on the route, or fewer if
   *  there are many data centres. */
  std::uint64_t mCallsPerDataCentre = 5;
  /** The sum of log likelihood ratios that proves a fault. By Wald's bound
   *  a good version passes it once in about e^15.5 = 5 million calls. At a
   *  failure rate of 1% it takes 4 failures in a row, at 0.2% 3. */
  double mFailureThreshold = 15.5;
  /** Calls of each version that a comparison of latency needs. */
  std::uint64_t mLatencyCalls = 8;
  double mLatencyFactor = 2;
  /** Standard errors by which the mean must differ. */
  double mLatencySpread = 5;
  /** Smaller rises are noise of the clock and the network. */
  Millis mLatencyRise{ 1 };
  /** Spans of time that must show slowness, so that a cold start of one or
   *  two seconds passes. */
  std::size_t mLatencySpans = 3;
};

/** What is compared: one version with the others on the same routes. */
struct JudgeRequest
{
  std::string mService;
  std::string mNew;
  std::vector<std::string> mOld;
  std::vector<std::string> mRoutes;
  /** The start of the move by the clock of the window; older evidence on
   *  the new version belongs to an earlier attempt. */
  Millis mSince;
  /** The start of the stage; good calls count from here. */
  Millis mStageSince;
};

/**
 * Compares a new version with the old ones per route and data centre.
 *
 * Failures are judged by two CUSUM tests over the new version's calls, one
 * for most calls failing and one for about a tenth failing. The rate that is
 * considered normal is that of the old version over the window or around the
 * same time, whichever is higher, so that a shared outage blames no version.
 * Latency is judged by the mean of the last 1, 2, 4, … spans.
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
  [[nodiscard]] std::string FindFailures(
    const EvidenceWindow::Cell& aNew,
    const EvidenceWindow::Cell& aOld) const;
  [[nodiscard]] std::string FindSlowness(
    const EvidenceWindow::Cell& aNew,
    const EvidenceWindow::Cell& aOld) const;

  JudgeOptions mOptions;
};

} // namespace papayaway
