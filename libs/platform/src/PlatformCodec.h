#pragma once

#include <string>
#include <vector>

#include <net/HttpClient.h>
#include <platform/PlatformTypes.h>

#include <base/Error.h>

namespace papayaway {

/** @return the body of POST /transactions. */
std::string EncodeTransaction(const Transaction& aTransaction);

/** @return the body of POST /leases/NAME, which acquires the lease if aToken is
 *    null and renews it otherwise. */
std::string EncodeClaim(const LeaseClaim& aClaim, const LeaseToken* aToken);

// The decoders throw nlohmann::json::exception if the body is malformed.
TableRow DecodeRow(const std::string& aKey, const std::string& aBody);
std::vector<TableRow> DecodeRows(const std::string& aBody);
Committed DecodeCommitted(const std::string& aBody);
CommitConflict DecodeConflict(const std::string& aBody);
LeaseGrant DecodeGrant(const std::string& aBody, Millis aSentAt);
LeaseState DecodeLeaseState(const std::string& aBody);
std::vector<ObjectInfo> DecodeObjects(const std::string& aBody);

/** What the result of an HTTP call says about the effect of a write. */
enum class WriteEffect
{
  /** The platform answered; the status says whether the write took effect. */
  Answered,
  /** The write had no effect. */
  None,
  /** The platform has processed the write, but its response was lost. */
  ResponseLost,
  /** The write may have had an effect or may still have one. */
  Unknown,
};

WriteEffect EffectOf(const HttpResult& aResult);

/** @return the error for a result that has no response or an error status. */
Error ErrorOf(const HttpResult& aResult);

} // namespace papayaway
