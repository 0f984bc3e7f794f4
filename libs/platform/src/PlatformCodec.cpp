#include "PlatformCodec.h"

namespace papayaway {

namespace {

using nlohmann::json;

// Invalid UTF-8 is replaced by replacement characters, because the JSON library
// would otherwise throw.
std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string
EncodeTransaction(const Transaction& aTransaction)
{
  json conditions = json::array();
  for (const RowCondition& condition : aTransaction.mConditions) {
    conditions.push_back(
      { { "key", condition.mKey }, { "version", condition.mVersion } });
  }
  json leases = json::array();
  for (const LeaseCondition& lease : aTransaction.mLeases) {
    leases.push_back({ { "name", lease.mName }, { "token", lease.mToken } });
  }
  json writes = json::array();
  for (const RowWrite& write : aTransaction.mWrites) {
    writes.push_back({ { "key", write.mKey }, { "value", write.mValue } });
  }
  return Dump({ { "operation", aTransaction.mOperation },
                { "conditions", std::move(conditions) },
                { "leases", std::move(leases) },
                { "writes", std::move(writes) },
                { "deletes", aTransaction.mDeletes } });
}

std::string
EncodeClaim(const LeaseClaim& aClaim, const LeaseToken* aToken)
{
  json body{ { "holder", aClaim.mHolder },
             { "value", aClaim.mValue },
             { "ttl_ms", aClaim.mDuration.WholeMillis() } };
  if (aToken != nullptr) {
    body["token"] = *aToken;
  }
  return Dump(body);
}

TableRow
DecodeRow(const std::string& aKey, const std::string& aBody)
{
  const json body = json::parse(aBody);
  return { aKey, body.at("version").get<RowVersion>(), body.at("value") };
}

std::vector<TableRow>
DecodeRows(const std::string& aBody)
{
  std::vector<TableRow> rows;
  const json body = json::parse(aBody);
  for (const json& row : body.at("rows")) {
    rows.push_back({ row.at("key").get<std::string>(),
                     row.at("version").get<RowVersion>(),
                     row.at("value") });
  }
  return rows;
}

Committed
DecodeCommitted(const std::string& aBody)
{
  return {
    json::parse(aBody).at("versions").get<std::map<std::string, RowVersion>>()
  };
}

CommitConflict
DecodeConflict(const std::string& aBody)
{
  const json body = json::parse(aBody);
  CommitConflict conflict;
  for (const json& failed : body.at("failed")) {
    conflict.mRows.push_back({ failed.at("key").get<std::string>(),
                               failed.at("version").get<RowVersion>() });
  }
  conflict.mLeases = body.value("leases", std::vector<std::string>());
  return conflict;
}

LeaseGrant
DecodeGrant(const std::string& aBody, Millis aSentAt)
{
  const json body = json::parse(aBody);
  return { body.at("token").get<LeaseToken>(),
           aSentAt + Millis{ body.at("ttl_ms").get<double>() } };
}

LeaseState
DecodeLeaseState(const std::string& aBody)
{
  const json body = json::parse(aBody);
  return { body.at("holder").get<std::string>(),
           body.at("value").get<std::string>(),
           body.value("token", LeaseToken{ 0 }),
           { body.at("remaining_ms").get<double>() } };
}

std::vector<ObjectInfo>
DecodeObjects(const std::string& aBody)
{
  std::vector<ObjectInfo> objects;
  const json body = json::parse(aBody);
  for (const json& object : body.at("objects")) {
    objects.push_back({ object.at("name").get<std::string>(),
                        object.at("bytes").get<std::uint64_t>() });
  }
  return objects;
}

WriteEffect
EffectOf(const HttpResult& aResult)
{
  if (aResult.mFailure != HttpFailure::None) {
    return aResult.mMayHaveRun ? WriteEffect::Unknown : WriteEffect::None;
  }
  if (aResult.mResponse.mHeaders.Contains("X-Fault")) {
    return WriteEffect::ResponseLost;
  }
  // The platform's interface guarantees that a request answered by a 503
  // without X-Fault had no effect. It gives no guarantee for other server
  // errors.
  const int status = aResult.mResponse.mStatus;
  if (status == 503) {
    return WriteEffect::None;
  }
  return status == 507 || status < 500 ? WriteEffect::Answered
                                       : WriteEffect::Unknown;
}

Error
ErrorOf(const HttpResult& aResult)
{
  switch (aResult.mFailure) {
    case HttpFailure::None:
      break;
    case HttpFailure::Timeout:
      return { ErrorCode::Timeout, "the platform did not answer in time" };
    case HttpFailure::TooLarge:
      return { ErrorCode::TooLarge, "the platform's answer is too large" };
    case HttpFailure::Malformed:
      return { ErrorCode::Unavailable, "the platform's answer is malformed" };
    case HttpFailure::NotConnected:
    case HttpFailure::ConnectionLost:
    case HttpFailure::Cancelled:
      return { ErrorCode::Unavailable,
               "the platform can't be reached: " + aResult.mError };
  }
  const int status = aResult.mResponse.mStatus;
  std::string message = "the platform answered " + std::to_string(status);
  const json body = json::parse(aResult.mResponse.mBody, nullptr, false);
  if (body.is_object() && body.contains("error") &&
      body.at("error").is_string()) {
    message += ": " + body.at("error").get<std::string>();
  }
  switch (status) {
    case 400:
      return { ErrorCode::Invalid, std::move(message) };
    case 404:
      return { ErrorCode::NotFound, std::move(message) };
    case 409:
      return { ErrorCode::Conflict, std::move(message) };
    case 413:
      return { ErrorCode::TooLarge, std::move(message) };
    case 503:
      return { ErrorCode::Unavailable, std::move(message) };
    case 507:
      return { ErrorCode::Refused, std::move(message) };
    default:
      return { ErrorCode::Internal, std::move(message) };
  }
}

} // namespace papayaway
