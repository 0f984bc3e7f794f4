#pragma once

#include <string>
#include <vector>

#include <net/HttpClient.h>
#include <platform/PlatformTypes.h>

#include <base/Error.h>

namespace papayaway {

/** @return the body of POST /transactions. */
std::string EncodeTransaction(const Transaction& aTransaction);

/** @return the body of POST /leases/NAME; a null aToken claims the lease. */
std::string EncodeClaim(const LeaseClaim& aClaim, const LeaseToken* aToken);

// The decoders throw nlohmann::json::exception if the body is malformed.
TableRow DecodeRow(const std::string& aKey, const std::string& aBody);
std::vector<TableRow> DecodeRows(const std::string& aBody);
Committed DecodeCommitted(const std::string& aBody);
CommitConflict DecodeConflict(const std::string& aBody);
LeaseGrant DecodeGrant(const std::string& aBody, Millis aSentAt);
LeaseState DecodeLeaseState(const std::string& aBody);
std::vector<ObjectInfo> DecodeObjects(const std::string& aBody);

/** What the answer to a write says about its effect. */
enum class WriteEffect
{
  /** The platform answered. */
  Answered,
  /** The write had no effect. */
  None,
  /** The platform is done with the write, but the result is lost. */
  ReplyLost,
  /** The write may still take effect. */
  Unknown,
};

WriteEffect EffectOf(const HttpResult& aResult);

/** @return the error of a result that is not one of the expected statuses.
 */
Error ErrorOf(const HttpResult& aResult);

} // namespace papayaway
