#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <base/Error.h>
#include <base/Millis.h>
#include <gateway/DesiredState.h>
#include <gateway/NodeRecord.h>
#include <gateway/Rollout.h>
#include <net/Http.h>

namespace papayaway::sidecar {

/** The status report that a target sends periodically. */
struct CheckIn
{
  gateway::TargetInfo mTarget;
  /** "IPv4:port" at which the target serves. */
  std::string mAddress;
  /** Increases with each check-in of one target instance, so that check-ins
   *  that arrive out of order are recognised. */
  std::uint64_t mSequence = 0;
  /** Wall-clock time of the target's start; 0 if not reported. */
  Millis mStarted;
  /** Time until the target's cold start is over; it is slow until then. */
  Millis mColdLeft;

  bool operator==(const CheckIn&) const = default;
};

/** Names of the HTTP headers exchanged with callers and targets. */
struct HeaderNames
{
  std::string mRequestId;
  /** How many milliseconds the sender waits for the response. */
  std::string mTimeLeft;
  /** The id of the target instance that a request is addressed to. */
  std::string mTargetId;
  /** The service of the host that the request came from. */
  std::string mCallerService;
  /** Set by a target on a response to a request that it did not run. */
  std::string mNotRun;
  /** The target's running requests, waiting requests and slots, separated by
   *  commas. */
  std::string mLoad;
  /** The key of the caller's tenant. */
  std::string mCredential;
  /** The name of the caller's tenant, set by the entry node. */
  std::string mTenant;
  /** How many milliseconds the target stays cold. */
  std::string mColdLeft;
};

/** The operations that the platform and targets call on a node. */
enum class AdminOperation
{
  /** No known operation. */
  None,
  /** A target reports its status. */
  CheckIn,
  /** A target announces that it is leaving. */
  Leave,
  /** The platform asks whether this node accepts callers. */
  Readiness,
};

/** The operation that an HTTP request asks for. */
struct AdminRoute
{
  AdminOperation mOperation = AdminOperation::None;
  /** The id of the target instance, for CheckIn and Leave. */
  std::string mTargetId;
};

/** Names of the tables and keys that are shared with the operator. */
struct OperatorNames
{
  /** The table of operator rows, which only the operator writes. */
  std::string mOperatorTable;
  /** The key of the row with the desired state. */
  std::string mDesiredStateKey;
  /** The key prefix of rows with rollout orders. */
  std::string mRolloutPrefix;
  /** The key prefix of rows that evacuate a data centre. */
  std::string mEvacuationPrefix;
  /** The table from which the operator reads the status of rollouts. */
  std::string mResultsTable;
};

/** The load that a target reports in the headers of a response. */
struct TargetReport
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
  /** How many times longer than usual work takes now, if the target reports
   *  it. */
  std::optional<double> mSlowdown;

  bool operator==(const TargetReport&) const = default;
};

/**
 * Translates between this system and the platform's formats: headers, admin
 * paths, check-ins and rows. Implementations only decode and encode; decisions
 * are made elsewhere.
 */
class PlatformProtocol
{
public:
  virtual ~PlatformProtocol() = default;

  [[nodiscard]] virtual const HeaderNames& Headers() const = 0;
  [[nodiscard]] virtual const OperatorNames& Operator() const = 0;
  [[nodiscard]] virtual AdminRoute MatchAdmin(
    const HttpRequest& aRequest) const = 0;
  [[nodiscard]] virtual Expected<CheckIn> DecodeCheckIn(
    const std::string& aTargetId,
    const std::string& aBody) const = 0;
  /** @return the load that the headers of a response report, or nothing if they
   *    report none. */
  [[nodiscard]] virtual std::optional<TargetReport> DecodeLoad(
    const HttpHeaders& aHeaders) const = 0;
  [[nodiscard]] virtual Expected<gateway::DesiredState> DecodeDesiredState(
    const std::string& aText) const = 0;
  [[nodiscard]] virtual Expected<gateway::RolloutOrder> DecodeRolloutOrder(
    const std::string& aText) const = 0;
  /** @return the value of the row from which the operator reads the status of
   *    the rollout. */
  [[nodiscard]] virtual std::string EncodeRolloutStatus(
    const gateway::RolloutProgress& aProgress) const = 0;
};

} // namespace papayaway::sidecar
