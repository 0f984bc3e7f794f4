#pragma once

#include <map>
#include <string>
#include <string_view>

#include <base/Millis.h>
#include <net/Http.h>

#include "Leases.h"
#include "Operations.h"
#include "Table.h"

namespace papayaway {

/** The HTTP interface of the table, the leases and the objects of the
 *  platform stand-in. All data is kept in memory; the current time is passed
 *  in by the caller. */
class PlatformService
{
public:
  /** Executes one request atomically at aNow. */
  HttpResponse Serve(const HttpRequest& aRequest, Millis aNow);

  /** @return the number of entries of each kind, for /admin/counters. */
  [[nodiscard]] nlohmann::json Sizes() const;

private:
  [[nodiscard]] HttpResponse ReadTable(const HttpRequest& aRequest,
                                       const std::string& aKey) const;
  HttpResponse Commit(const nlohmann::json& aBody, Millis aNow);
  HttpResponse ServeLease(const HttpRequest& aRequest,
                          const std::string& aName,
                          Millis aNow);
  HttpResponse ServeObject(const HttpRequest& aRequest,
                           const std::string& aName);

  Table mTable;
  Leases mLeases;
  // Results are kept for 2 h, so that a client can look up its operation after
  // an outage of 1 h.
  Operations mOperations{ Seconds(7200), 200'000 };
  std::map<std::string, std::string, std::less<>> mObjects;
  std::size_t mObjectBytes = 0;
};

} // namespace papayaway
