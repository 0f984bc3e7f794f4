#pragma once

#include <cstdint>
#include <optional>

#include <base/Millis.h>

namespace papayaway::gateway {

struct StateFreshnessOptions
{
  /** Whether tenants are refused when the state is unconfirmed. */
  bool mStrict = false;
  /** How long a confirmation is valid. */
  Millis mConfirmationLimit = Seconds(5);
  /** For how long after the start of the process a newer version that another
   *  node reports makes this node refuse tenants until it has that version. */
  Millis mStartPeriod = Seconds(10);
  /** How long a process waits after the first report of another node for the
   *  reports of the others, which may have a newer version. */
  Millis mFirstReportsWait{ 250 };
  /** How long a report counts. Nodes repeat theirs every second. */
  Millis mReportLifetime = Seconds(3);
  /** A longer gap between two ticks shows that the process was stopped.
   *  Messages that arrived meanwhile may be old. */
  Millis mMaxTickGap = Seconds(1);
  /** For how long after such a gap confirmations are ignored. */
  Millis mDrainTime = Seconds(1);
  /** How long a report may have travelled. Without it, two nodes that repeat
   *  each other's reports would make an old confirmation seem newer. */
  Millis mTransitAllowance{ 200 };

  bool operator==(const StateFreshnessOptions&) const = default;
};

/** Why the requests of tenants must be refused. */
enum class StateDoubt
{
  None,
  /** Another node has reported a newer version, or there has been no time yet
   *  to learn of one. */
  Outdated,
  /** It was not confirmed recently that the version is the newest. */
  Unconfirmed,
};

/**
 * Decides whether the desired state in force is new enough to accept the keys
 * of tenants.
 *
 * A process that has just started may have received its state from a node that
 * lacks the newest version. It must not accept keys that the other nodes refuse
 * already. If confirmations are required, each node needs a recent one: an
 * answer of the store, or the report of another node that has had one.
 *
 * Times are those of a clock that does not stop while the process or the host
 * is suspended.
 */
class StateFreshness
{
public:
  /** @param aStart when the process started. */
  StateFreshness(StateFreshnessOptions aOptions, Millis aStart);

  /** To be called periodically, more often than mMaxTickGap. */
  void OnTick(Millis aNow);

  /** Handles an answer of the store.
   *  @param aConfirmedAt the time up to which it contains all changes. */
  void OnStoreAnswer(Millis aConfirmedAt, Millis aNow);

  /** @return whether messages that are processed now may have arrived long ago,
   *    because this process was stopped. */
  [[nodiscard]] bool IgnoresReports(Millis aNow);

  /** Handles the report of another node.
   *  @param aVersion the version in force there.
   *  @param aConfirmedAgo when it was confirmed there that this is the newest
   *    version, if known.
   *  @param aOwnVersion the version in force here, or 0 if there is none. */
  void OnReport(std::uint64_t aVersion,
                std::optional<Millis> aConfirmedAgo,
                std::uint64_t aOwnVersion,
                Millis aNow);

  /** @return how long ago the version in force was confirmed, or nothing if it
   *    never was. */
  [[nodiscard]] std::optional<Millis> ConfirmedAgo(Millis aNow) const;

  /** @return whether a version that another node reports must be obtained
   *    without delay. */
  [[nodiscard]] bool IsStarting() const { return !mSettled; }

  /** @param aOwnVersion the version in force here. */
  [[nodiscard]] StateDoubt Doubt(std::uint64_t aOwnVersion, Millis aNow);

private:
  [[nodiscard]] bool IsOutdated(std::uint64_t aOwnVersion, Millis aNow) const;
  void Confirm(Millis aAt, Millis aNow);

  StateFreshnessOptions mOptions;
  Millis mStart;
  Millis mLastTick;
  Millis mIgnoreUntil;
  bool mStoreAnswered = false;
  std::optional<Millis> mFirstReport;
  /** The greatest version reported, and when it was last reported. */
  std::uint64_t mReportedVersion = 0;
  Millis mReportedAt;
  std::optional<Millis> mConfirmedAt;
  /** Whether the start period is over and this node has had the newest version
   *  that other nodes reported. */
  bool mSettled = false;
};

} // namespace papayaway::gateway
