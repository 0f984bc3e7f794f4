#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <base/Millis.h>

namespace papayaway::gateway {

/** The operator's order to move a service to a version. */
struct RolloutOrder
{
  std::string mService;
  std::string mVersion;
  /** The time from the order to its deadline. */
  Millis mPeriod = Seconds(15);
  /** The store's version of the order; a newer order has a higher one. */
  std::uint64_t mOrderedAt = 0;

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState
{
  Running,
  Succeeded,
  RolledBack,
};

/** How far a rollout is: one row of the store, changed by compare-and-set. */
struct RolloutProgress
{
  std::string mService;
  std::string mVersion;
  std::uint64_t mOrderedAt = 0;
  RolloutState mState = RolloutState::Running;
  /** The index of the share in kStageShares. */
  std::uint32_t mStage = 0;
  /** By the store's clock. */
  Millis mStarted;
  Millis mStageSince;
  /** For people: why the last change was made. */
  std::string mReason;

  bool operator==(const RolloutProgress&) const = default;

  /** @return whether this is further than aOther. A decided state is final
   *    and a rollback wins over a raise of the share. */
  [[nodiscard]] bool Supersedes(const RolloutProgress& aOther) const;
};

/** The part of a service's requests that the new version gets. */
inline constexpr std::array<double, 4> kStageShares = { 0.04, 0.1, 0.4, 1 };

/** What the runs of one version showed on one route, since its start. */
struct VersionCounts
{
  std::uint64_t mRuns = 0;
  std::uint64_t mFailures = 0;
  /** Runs that took several times the old versions' mean. */
  std::uint64_t mSlow = 0;
  Millis mTime;

  bool operator==(const VersionCounts&) const = default;
  void Add(const VersionCounts& aOther);
};

struct VersionRoute
{
  std::string mService;
  std::string mVersion;
  std::string mRoute;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionRoute&) const = default;
};

using VersionEvidence = std::map<VersionRoute, VersionCounts>;

/** Sums what each node has counted; a later count of a node replaces its
 *  earlier one, so that lost and repeated messages do no harm. */
class EvidenceBook
{
public:
  /** @param aLifetime the start of the node's process: its counts begin anew
   *    with each. */
  void Merge(const std::string& aNode,
             std::uint64_t aLifetime,
             const VersionEvidence& aCounts);

  /** @return the sums by route of one version, or of all others. */
  [[nodiscard]] std::map<std::string, VersionCounts> ByRoute(
    std::string_view aService,
    std::string_view aVersion,
    bool aOthers) const;

  /** @return the mean time of a route over all versions but aVersion, or 0. */
  [[nodiscard]] Millis MeanOfOthers(std::string_view aService,
                                    std::string_view aVersion,
                                    std::string_view aRoute) const;

private:
  struct NodeCounts
  {
    std::uint64_t mLifetime = 0;
    VersionEvidence mCounts;
  };

  std::map<std::string, NodeCounts> mNodes;
};

struct RolloutPolicy
{
  /** The first stage lasts this part of the period, so that faults that come
   *  late show while the share is small. */
  double mFirstStagePart = 0.42;
  /** How long the other stages last at least. */
  Millis mStageTime{ 1000 };
  /** Runs of each busy route that the first stage needs... */
  std::uint64_t mRunsPerRoute = 8;
  /** ...unless this part of the period has passed. */
  double mLatestFirstStagePart = 0.55;
  /** Failed or slow runs that prove a fault at the least. */
  std::uint64_t mFaults = 4;
  /** The part of runs above that of the old versions that proves a fault. */
  double mFaultShare = 0.15;
  /** A run is slow if it takes this many times the old versions' mean. */
  double mSlowFactor = 4;
  /** After this part of the period the rollout counts as failed: there is no
   *  time left to raise the share safely. */
  double mLatestPart = 0.95;
};

/** @return why the new version is bad, or "" if nothing shows it. */
std::string FindFault(const EvidenceBook& aBook,
                      const RolloutOrder& aOrder,
                      const RolloutPolicy& aPolicy);

/** What a node knows when it considers the next step. */
struct RolloutView
{
  /** The progress in force, or none before the first step. */
  std::optional<RolloutProgress> mProgress;
  /** By the store's clock. */
  Millis mNow;
  /** Whether the targets of the old versions have no requests. */
  bool mOldIdle = false;
  /** Whether a target of the new version is ready. */
  bool mNewReady = false;
};

/**
 * @return the next step of the rollout, to be written under the condition
 *   that the progress has not changed, or nothing.
 */
std::optional<RolloutProgress> NextStep(const RolloutOrder& aOrder,
                                        const RolloutView& aView,
                                        const EvidenceBook& aBook,
                                        const RolloutPolicy& aPolicy);

} // namespace papayaway::gateway
