#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>

namespace papayaway {

/** The version of a row; 0 means that the row does not exist. */
using RowVersion = std::uint64_t;

/** The fencing token of a lease; it increases with each change of holder. */
using LeaseToken = std::uint64_t;

struct TableRow
{
  std::string mKey;
  RowVersion mVersion = 0;
  nlohmann::json mValue;

  bool operator==(const TableRow&) const = default;
};

/** The version that a row must have for a transaction to take effect; 0 if the
 *  row must not exist. */
struct RowCondition
{
  std::string mKey;
  RowVersion mVersion = 0;

  bool operator==(const RowCondition&) const = default;
};

/** The token with which a lease must be held for a transaction to take
 *  effect. */
struct LeaseCondition
{
  std::string mName;
  LeaseToken mToken = 0;

  bool operator==(const LeaseCondition&) const = default;
};

struct RowWrite
{
  std::string mKey;
  nlohmann::json mValue;

  bool operator==(const RowWrite&) const = default;
};

/** Changes of rows that take effect together or not at all. */
struct Transaction
{
  /** The id of the operation, which the platform applies once. A retry must use
   *  the same id, a new transaction a new one. */
  std::string mOperation;
  std::vector<RowCondition> mConditions;
  std::vector<LeaseCondition> mLeases;
  std::vector<RowWrite> mWrites;
  std::vector<std::string> mDeletes;

  bool operator==(const Transaction&) const = default;
};

/** The result of a transaction that took effect. */
struct Committed
{
  /** The new versions of the written rows, by key. */
  std::map<std::string, RowVersion> mVersions;

  bool operator==(const Committed&) const = default;
};

/** The result of a transaction that had no effect because conditions did not
 *  hold. */
struct CommitConflict
{
  /** The rows whose condition failed, with their actual versions. */
  std::vector<RowCondition> mRows;
  /** The names of the leases that are not held with the required token. */
  std::vector<std::string> mLeases;

  bool operator==(const CommitConflict&) const = default;
};

using CommitResult = std::variant<Committed, CommitConflict>;

/** A claim to a lease, or its renewal. */
struct LeaseClaim
{
  std::string mName;
  std::string mHolder;
  /** A text for readers of the lease, such as the address of the holder. */
  std::string mValue;
  Millis mDuration;

  bool operator==(const LeaseClaim&) const = default;
};

/** A lease that was acquired or renewed. */
struct LeaseGrant
{
  LeaseToken mToken = 0;
  /** The end of the lease by SteadyNow(). It is counted from the time before
   *  the request was sent, so it is never later than the time at which the
   *  platform ends the lease. */
  Millis mValidUntil;

  bool operator==(const LeaseGrant&) const = default;
};

/** The state of a lease that is held. */
struct LeaseState
{
  std::string mHolder;
  std::string mValue;
  /** The token, or 0 in the response to a refused claim. */
  LeaseToken mToken = 0;
  /** The time until the lease expires. */
  Millis mRemaining;

  bool operator==(const LeaseState&) const = default;
};

/** The grant, or the state of the lease if another holder has it. */
using LeaseClaimResult = std::variant<LeaseGrant, LeaseState>;

struct ObjectInfo
{
  std::string mName;
  std::uint64_t mBytes = 0;

  bool operator==(const ObjectInfo&) const = default;
};

} // namespace papayaway
