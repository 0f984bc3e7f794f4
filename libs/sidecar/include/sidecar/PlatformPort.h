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

/** What a target says of itself from time to time. */
struct CheckIn
{
  gateway::TargetInfo mTarget;
  /** "IPv4:port" at which the target serves. */
  std::string mAddress;
  /** Rises with each check-in of one start, so that late ones are known. */
  std::uint64_t mSequence = 0;
  /** When the target started, by the wall clock; 0 if it did not say. */
  Millis mStarted;
  /** How much longer the target is slow after its start. */
  Millis mColdLeft;

  bool operator==(const CheckIn&) const = default;
};

/** Names of header fields that callers, targets and this system share. */
struct HeaderNames
{
  std::string mRequestId;
  /** Milliseconds that the sender waits. */
  std::string mTimeLeft;
  /** The start of the target that a request is meant for. */
  std::string mTargetId;
  /** The service of the host where the request began. */
  std::string mCallerService;
  /** Marks a target's statement that it did not run the request. */
  std::string mNotRun;
  /** Requests running and waiting and slots, separated by commas. */
  std::string mLoad;
};

/** Where an operation of the platform's interface begins. */
enum class AdminOperation
{
  None,
  CheckIn,
  Leave,
  Readiness,
};

struct AdminRoute
{
  AdminOperation mOperation = AdminOperation::None;
  /** The target's id, for check-ins and leaves. */
  std::string mTargetId;
};

/** What the operator's rows hold. */
struct OperatorNames
{
  /** The table that only the operator writes. */
  std::string mOrders;
  std::string mDesiredStateKey;
  std::string mRolloutPrefix;
  /** The table in which the operator reads results. */
  std::string mResults;
};

/** What a target says of its own load with an answer. */
struct TargetReport
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;

  bool operator==(const TargetReport&) const = default;
};

/**
 * How the platform spells what it says and hears. An implementation decodes
 * and encodes; it decides nothing.
 */
class PlatformPort
{
public:
  virtual ~PlatformPort() = default;

  [[nodiscard]] virtual const HeaderNames& Headers() const = 0;
  [[nodiscard]] virtual const OperatorNames& Operator() const = 0;
  [[nodiscard]] virtual AdminRoute MatchAdmin(
    const HttpRequest& aRequest) const = 0;
  [[nodiscard]] virtual Expected<CheckIn> DecodeCheckIn(
    const std::string& aTargetId,
    const std::string& aBody) const = 0;
  /** @return the load that an answer tells, or nothing if it tells none. */
  [[nodiscard]] virtual std::optional<TargetReport> DecodeLoad(
    const HttpHeaders& aHeaders) const = 0;
  [[nodiscard]] virtual Expected<gateway::DesiredState> DecodeDesiredState(
    const std::string& aText) const = 0;
  [[nodiscard]] virtual Expected<gateway::RolloutOrder> DecodeRollout(
    const std::string& aText) const = 0;
  /** @return the value of the row in which the operator reads the result. */
  [[nodiscard]] virtual std::string EncodeRollout(
    const gateway::RolloutProgress& aProgress) const = 0;
};

} // namespace papayaway::sidecar
