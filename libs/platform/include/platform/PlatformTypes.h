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

/** The fencing token of a lease; it rises with each change of holder. */
using LeaseToken = std::uint64_t;

struct TableRow
{
  std::string mKey;
  RowVersion mVersion = 0;
  nlohmann::json mValue;

  bool operator==(const TableRow&) const = default;
};

/** A row that must have a version for a transaction to take effect. */
struct RowCondition
{
  std::string mKey;
  RowVersion mVersion = 0;

  bool operator==(const RowCondition&) const = default;
};

/** A lease that must be held by a token for a transaction to take effect. */
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

/** Changes that take effect together or not at all. */
struct Transaction
{
  /** Unique per intent: the platform applies each id once. */
  std::string mOperation;
  std::vector<RowCondition> mConditions;
  std::vector<LeaseCondition> mLeases;
  std::vector<RowWrite> mWrites;
  std::vector<std::string> mDeletes;

  bool operator==(const Transaction&) const = default;
};

/** The versions of the rows that a transaction wrote. */
struct Committed
{
  std::map<std::string, RowVersion> mVersions;

  bool operator==(const Committed&) const = default;
};

/** A transaction that had no effect because conditions did not hold. */
struct CommitConflict
{
  /** The failed rows with the versions they have. */
  std::vector<RowCondition> mRows;
  /** The names of the leases whose token is stale. */
  std::vector<std::string> mLeases;

  bool operator==(const CommitConflict&) const = default;
};

using CommitAnswer = std::variant<Committed, CommitConflict>;

/** A claim to a lease, or its renewal. */
struct LeaseClaim
{
  std::string mName;
  std::string mHolder;
  /** A text that others read, such as an address. */
  std::string mValue;
  Millis mDuration;

  bool operator==(const LeaseClaim&) const = default;
};

struct LeaseGrant
{
  LeaseToken mToken = 0;
  /** The end of the lease in SteadyNow(), counted from before the request
   *  was sent, so that it is never later than the end at the platform. */
  Millis mValidUntil;

  bool operator==(const LeaseGrant&) const = default;
};

/** A lease that is held. */
struct LeaseState
{
  std::string mHolder;
  std::string mValue;
  /** The token; 0 in the answer to a refused claim. */
  LeaseToken mToken = 0;
  Millis mRemaining;

  bool operator==(const LeaseState&) const = default;
};

/** The grant, or the state of the lease that someone else holds. */
using LeaseAnswer = std::variant<LeaseGrant, LeaseState>;

struct ObjectInfo
{
  std::string mName;
  std::uint64_t mBytes = 0;

  bool operator==(const ObjectInfo&) const = default;
};

} // namespace papayaway
