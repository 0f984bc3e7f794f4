#include "PlatformService.h"

#include <optional>

#include <net/PathEncoding.h>

namespace papayaway {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxRows = 1'000'000;
constexpr std::size_t kMaxLeases = 100'000;
constexpr std::size_t kMaxObjectBytes = std::size_t{ 1 } << 30;

HttpResponse
Answer(int aStatus, const json& aBody)
{
  return JsonResponse(
    aStatus, aBody.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse
Refusal(int aStatus, std::string_view aMessage)
{
  return Answer(aStatus, { { "error", aMessage } });
}

// Returns what follows aPrefix in the path, decoded, if it is not empty.
std::optional<std::string>
NameAfter(std::string_view aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix) || aPath.size() == aPrefix.size()) {
    return std::nullopt;
  }
  return PercentDecodePath(aPath.substr(aPrefix.size()));
}

json
DescribeFailures(const std::vector<Table::Condition>& aFailed)
{
  json list = json::array();
  for (const Table::Condition& condition : aFailed) {
    list.push_back(
      { { "key", condition.mKey }, { "version", condition.mVersion } });
  }
  return list;
}

} // namespace

HttpResponse
PlatformService::Serve(const HttpRequest& aRequest, Millis aNow)
{
  const std::string& path = aRequest.mPath;
  const bool isGet = aRequest.mMethod == "GET";
  // Bodies are untrusted: a missing or wrongly typed member throws.
  try {
    if (path == "/table" && isGet) {
      return ReadTable(aRequest, "");
    }
    if (const auto key = NameAfter(path, "/table/"); key && isGet) {
      return ReadTable(aRequest, *key);
    }
    if (path == "/transactions" && aRequest.mMethod == "POST") {
      return Commit(json::parse(aRequest.mBody), aNow);
    }
    if (const auto id = NameAfter(path, "/operations/"); id && isGet) {
      const json* const result = mOperations.Result(*id);
      return result == nullptr ? Refusal(404, "the operation is not known")
                               : Answer(200, *result);
    }
    if (const auto name = NameAfter(path, "/leases/")) {
      return ServeLease(aRequest, *name, aNow);
    }
    if (path == "/objects" && isGet) {
      return ServeObject(aRequest, "");
    }
    if (const auto name = NameAfter(path, "/objects/")) {
      return ServeObject(aRequest, *name);
    }
  } catch (const json::exception& fault) {
    return Refusal(400, fault.what());
  }
  return Refusal(404, "there is no such path or method");
}

HttpResponse
PlatformService::ReadTable(const HttpRequest& aRequest,
                           const std::string& aKey) const
{
  if (!aKey.empty()) {
    const Table::Row* const row = mTable.Read(aKey);
    return row == nullptr ? Refusal(404, "there is no such row")
                          : Answer(200,
                                   { { "version", row->mVersion },
                                     { "value", row->mValue } });
  }
  json rows = json::array();
  for (auto& [key, row] : mTable.Scan(aRequest.QueryValue("prefix"))) {
    rows.push_back({ { "key", key },
                     { "version", row.mVersion },
                     { "value", std::move(row.mValue) } });
  }
  return Answer(200, { { "rows", std::move(rows) } });
}

HttpResponse
PlatformService::Commit(const json& aBody, Millis aNow)
{
  const auto operation = aBody.at("operation").get<std::string>();
  if (operation.empty()) {
    return Refusal(400, "the operation id is empty");
  }
  if (const json* const recorded = mOperations.Result(operation)) {
    return Answer(200, *recorded);
  }
  // All members are read before the first change, so that a malformed
  // transaction has no effect.
  const json none = json::array();
  std::vector<Table::Condition> conditions;
  for (const json& condition : aBody.value("conditions", none)) {
    conditions.push_back({ condition.at("key").get<std::string>(),
                           condition.at("version").get<Table::Version>() });
  }
  std::vector<std::pair<std::string, json>> writes;
  for (const json& write : aBody.value("writes", none)) {
    writes.emplace_back(write.at("key").get<std::string>(), write.at("value"));
  }
  const auto deletes =
    aBody.value("deletes", none).get<std::vector<std::string>>();
  json staleLeases = json::array();
  for (const json& lease : aBody.value("leases", none)) {
    const auto name = lease.at("name").get<std::string>();
    if (!mLeases.Holds(name, lease.at("token").get<Leases::Token>(), aNow)) {
      staleLeases.push_back(name);
    }
  }

  const auto failed = mTable.Failed(conditions);
  if (!failed.empty() || !staleLeases.empty()) {
    return Answer(409,
                  { { "failed", DescribeFailures(failed) },
                    { "leases", std::move(staleLeases) } });
  }
  if (mTable.Size() + writes.size() > kMaxRows) {
    return Refusal(507, "the table is full");
  }
  json versions = json::object();
  for (auto& [key, value] : writes) {
    versions[key] = mTable.Write(key, std::move(value));
  }
  for (const std::string& key : deletes) {
    mTable.Delete(key);
  }
  json result{ { "versions", std::move(versions) } };
  mOperations.Record(operation, result, aNow);
  return Answer(200, result);
}

HttpResponse
PlatformService::ServeLease(const HttpRequest& aRequest,
                            const std::string& aName,
                            Millis aNow)
{
  const Leases::Lease* lease = mLeases.Read(aName, aNow);
  if (aRequest.mMethod == "GET") {
    return lease == nullptr
             ? Refusal(404, "the lease is not held")
             : Answer(
                 200,
                 { { "holder", lease->mHolder },
                   { "value", lease->mValue },
                   { "token", lease->mToken },
                   { "remaining_ms", (lease->mExpiry - aNow).WholeMillis() } });
  }
  const json body = json::parse(aRequest.mBody);
  const auto holder = body.at("holder").get<std::string>();
  if (holder.empty()) {
    return Refusal(400, "the holder is empty");
  }
  if (aRequest.mMethod == "DELETE") {
    const bool released =
      mLeases.Release(aName, holder, body.at("token").get<Leases::Token>());
    return released ? Answer(200, json::object())
                    : Refusal(409, "the lease is not held by this token");
  }
  if (aRequest.mMethod != "POST") {
    return Refusal(405, "a lease accepts GET, POST and DELETE");
  }
  Leases::Claim claim{ .mHolder = holder,
                       .mValue = body.value("value", std::string()),
                       .mDuration = { body.at("ttl_ms").get<double>() } };
  if (claim.mDuration.mCount <= 0) {
    return Refusal(400, "ttl_ms is not positive");
  }
  if (body.contains("token") && !body.at("token").is_null()) {
    claim.mToken = body.at("token").get<Leases::Token>();
  }
  if (!mLeases.Contains(aName) && mLeases.Size() >= kMaxLeases) {
    return Refusal(507, "there are too many leases");
  }
  const auto token = mLeases.Acquire(aName, claim, aNow);
  if (token) {
    return Answer(
      200,
      { { "token", *token }, { "ttl_ms", claim.mDuration.WholeMillis() } });
  }
  lease = mLeases.Read(aName, aNow);
  return Answer(409,
                { { "holder", lease->mHolder },
                  { "value", lease->mValue },
                  { "remaining_ms", (lease->mExpiry - aNow).WholeMillis() } });
}

HttpResponse
PlatformService::ServeObject(const HttpRequest& aRequest,
                             const std::string& aName)
{
  if (aName.empty()) {
    const std::string prefix = aRequest.QueryValue("prefix");
    json list = json::array();
    for (auto object = mObjects.lower_bound(prefix);
         object != mObjects.end() && object->first.starts_with(prefix);
         ++object) {
      list.push_back(
        { { "name", object->first }, { "bytes", object->second.size() } });
    }
    return Answer(200, { { "objects", std::move(list) } });
  }
  const auto found = mObjects.find(aName);
  if (aRequest.mMethod == "GET") {
    if (found == mObjects.end()) {
      return Refusal(404, "there is no such object");
    }
    return { .mStatus = 200,
             .mHeaders = { { "Content-Type", "application/octet-stream" } },
             .mBody = found->second };
  }
  if (aRequest.mMethod != "PUT") {
    return Refusal(405, "an object accepts GET and PUT");
  }
  const std::size_t replaced =
    found == mObjects.end() ? 0 : found->second.size();
  const std::size_t size = aRequest.mBody.size();
  if (mObjectBytes - replaced + size > kMaxObjectBytes) {
    return Refusal(507, "the object store is full");
  }
  mObjectBytes = mObjectBytes - replaced + size;
  mObjects[aName] = aRequest.mBody;
  return Answer(200, { { "bytes", size } });
}

json
PlatformService::Sizes() const
{
  return { { "rows", mTable.Size() },
           { "leases", mLeases.Size() },
           { "operations", mOperations.Size() },
           { "objects", mObjects.size() },
           { "object_bytes", mObjectBytes } };
}

} // namespace papayaway
