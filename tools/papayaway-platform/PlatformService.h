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

/** The table, leases and objects behind their HTTP interface. It keeps
 *  everything in memory and takes the time as an argument. */
class PlatformService
{
public:
  /** Serves one request, which takes effect as a whole at aNow. */
  HttpResponse Serve(const HttpRequest& aRequest, Millis aNow);

  /** @return the sizes of the stores, for the counters. */
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
  // A caller may look its operation up after an outage of an hour.
  Operations mOperations{ Seconds(7200), 200'000 };
  std::map<std::string, std::string, std::less<>> mObjects;
  std::size_t mObjectBytes = 0;
};

} // namespace papayaway
