#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <base/Millis.h>
#include <gateway/StoreVersion.h>

namespace papayaway::gateway {

/** The operator's order to move a service to a version. */
struct RolloutOrder
{
  std::string mService;
  std::string mVersion;
  /** The time that the rollout may take, counted from its start. */
  Millis mPeriod = Seconds(15);
  /** The version of the order's row in the store. In one era, a newer order has
   *  a higher one; RolloutProgress::AgeOf() compares orders across eras. */
  StoreVersion mOrderVersion;

  bool operator==(const RolloutOrder&) const = default;
};

/** What identifies an order within one era of the store. */
struct OrderId
{
  StoreVersion mOrderVersion;
  /** The version that the service was to be moved to. */
  std::string mVersion;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const OrderId&) const = default;
};

/** An order in relation to the order that a rollout carries out. */
enum class OrderAge
{
  Earlier,
  Same,
  Newer,
};

enum class RolloutState
{
  Running,
  Succeeded,
  RolledBack,
};

/** The progress of a rollout: one row in the store, changed by
 *  compare-and-set. */
struct RolloutProgress
{
  std::string mService;
  std::string mVersion;
  /** See RolloutOrder::mOrderVersion. */
  StoreVersion mOrderVersion;
  RolloutState mState = RolloutState::Running;
  /** The index of the current traffic share in kStageShares. */
  std::uint32_t mStage = 0;
  /** When the rollout started, by the store's clock. */
  Millis mStarted;
  /** When the current stage started, by the store's clock. */
  Millis mStageStarted;
  /** Why the last change was made, as text for operators. */
  std::string mReason;
  /** Versions that earlier orders of the service rolled back, the newest last.
   *  Kept here so that a node that restarts knows them. */
  std::vector<std::string> mWithdrawnVersions;
  /** The orders that this one has replaced, the newest last. A copy of the
   * store may bring them back. */
  std::vector<OrderId> mEarlierOrders;
  /** The versions that the row of this order had in earlier eras. */
  std::vector<StoreVersion> mFormerOrderVersions;

  bool operator==(const RolloutProgress&) const = default;

  [[nodiscard]] OrderId Order() const { return { mOrderVersion, mVersion }; }

  /**
   * Compares an order with the one that this progress belongs to.
   *
   * Their versions decide if they are of the same era. In another era, the row
   * of an order is either one that the copy had, which keeps its number, or it
   * was written again with another one. So an order for the same version is the
   * same one, and an order that this one has replaced is an earlier one.
   */
  [[nodiscard]] OrderAge AgeOf(const OrderId& aOrder) const;

  /** @return whether the order is one that this one has replaced, also if its
   *    row was read from a copy in a later era. */
  [[nodiscard]] bool HasReplaced(const OrderId& aOrder) const;

  /** Takes over the version that the row of the order has in a later era. */
  void Renumber(StoreVersion aOrderVersion);

  /** @return whether the version was rolled back and gets no requests until it
   *    is ordered again. */
  [[nodiscard]] bool IsWithdrawn(std::string_view aVersion) const;

  /** @return whether this progress replaces aOther: it belongs to a newer
   *    order, has ended while aOther is running, is at a later stage, or is the
   *    same with the version that the order has in a later era. A rollout that
   *    has ended does not run again, so a rollback also replaces a later
   *    stage. */
  [[nodiscard]] bool Supersedes(const RolloutProgress& aOther) const;
};

/** How many rolled-back versions of a service are remembered. Their targets are
 *  stopped within seconds, so that few exist at a time. */
inline constexpr std::size_t kMaxWithdrawnVersions = 8;
inline constexpr std::size_t kMaxEarlierOrders = 8;
inline constexpr std::size_t kMaxFormerOrderVersions = 4;

/** @return the progress that a node keeps that knows both. */
RolloutProgress Merge(const RolloutProgress& aKnown,
                      const RolloutProgress& aReceived);

/** The share of a service's requests that the new version gets, by stage. */
inline constexpr std::array<double, 4> kStageShares = { 0.04, 0.1, 0.4, 1 };

/** Counts of the requests of one route that targets of one version ran. */
struct VersionCounts
{
  std::uint64_t mRuns = 0;
  std::uint64_t mFailures = 0;
  /** Runs that took longer than RolloutPolicy::mSlowFactor allows. */
  std::uint64_t mSlowRuns = 0;
  /** The sum of the run times. */
  Millis mTotalRunTime;

  bool operator==(const VersionCounts&) const = default;
  void Add(const VersionCounts& aOther);
};

/** What a node counts separately: one route of one version of a service. */
struct VersionRoute
{
  std::string mService;
  std::string mVersion;
  std::string mRoute;

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VersionRoute&) const = default;
};

/** The counts of one node, by which a new version is judged. */
using VersionEvidence = std::map<VersionRoute, VersionCounts>;

/** Sums the counts of all nodes. Nodes report cumulative counts and a newer
 *  report replaces the older one of the same node, so that lost and duplicate
 *  messages do not distort the sums. */
class EvidenceAggregator
{
public:
  /** Stores the counts that a node has reported.
   *  @param aIncarnation a number that rises with each start of the node's
   *    process; counts from an earlier start are ignored. */
  void Merge(const std::string& aNode,
             std::uint64_t aIncarnation,
             const VersionEvidence& aCounts);

  /** @param aOthers false for the counts of aVersion, true for those of all
   *    other versions of the service.
   *  @return the sums for each route. */
  [[nodiscard]] std::map<std::string, VersionCounts> CountsByRoute(
    std::string_view aService,
    std::string_view aVersion,
    bool aOthers) const;

  /** @return the mean run time of a route over all versions except aVersion, or
   *    0 if there are too few runs. */
  [[nodiscard]] Millis MeanRunTimeOfOthers(std::string_view aService,
                                           std::string_view aVersion,
                                           std::string_view aRoute) const;

private:
  struct NodeCounts
  {
    std::uint64_t mIncarnation = 0;
    VersionEvidence mCounts;
  };

  std::map<std::string, NodeCounts> mNodes;
};

/** The rules by which a rollout proceeds or is rolled back. */
struct RolloutPolicy
{
  /** The first stage lasts at least this fraction of the period, so that faults
   *  that appear only some time after the start affect a small share of the
   *  requests. */
  double mMinFirstStageFraction = 0.42;
  /** The minimum duration of each later stage. */
  Millis mMinStageTime{ 1000 };
  /** The number of runs on each busy route that ends the first stage. */
  std::uint64_t mMinRunsPerRoute = 8;
  /** After this fraction of the period the first stage ends even with fewer
   *  runs. */
  double mMaxFirstStageFraction = 0.55;
  /** The minimum number of failed or of slow runs for a version to be
   *  considered faulty. */
  std::uint64_t mMinFaults = 4;
  /** How far the fraction of failed or of slow runs must be above 1.5 times
   *  that of the old versions for a version to be considered faulty. */
  double mFaultRateMargin = 0.15;
  /** A run is slow if it takes more than this many times the mean run time of
   *  the old versions. */
  double mSlowFactor = 4;
  /** A rollout that has not reached the last stage after this fraction of the
   *  period is rolled back, because there is no time left to increase the share
   *  safely. It is not if no target of another version could take the
   *  requests. */
  double mMaxPeriodFraction = 0.95;
};

/** @return a description of the fault of the new version, or "" if there is no
 *    evidence of one. */
std::string FindFault(const EvidenceAggregator& aEvidence,
                      const RolloutOrder& aOrder,
                      const RolloutPolicy& aPolicy);

/** What a node knows of a rollout when it decides on the next step. */
struct RolloutView
{
  /** The latest progress; nullopt before the first step. */
  std::optional<RolloutProgress> mProgress;
  /** The current time by the store's clock. */
  Millis mNow;
  /** Whether the targets of the old versions have no requests in flight. */
  bool mOldTargetsIdle = false;
  /** Whether a target of the new version is ready. */
  bool mNewTargetReady = false;
  /** Whether a target of another version is ready. */
  bool mOldTargetReady = false;
  /** Whether none of them has been ready for so long that none will be. */
  bool mOldTargetsGone = false;
};

/**
 * Decides on the next step of a rollout.
 *
 * @return the new progress, which the caller writes to the store only if the
 *   row has not changed since; nullopt if there is nothing to do yet.
 */
std::optional<RolloutProgress> NextStep(const RolloutOrder& aOrder,
                                        const RolloutView& aView,
                                        const EvidenceAggregator& aEvidence,
                                        const RolloutPolicy& aPolicy);

} // namespace papayaway::gateway
