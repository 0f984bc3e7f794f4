#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include <net/HttpServer.h>
#include <platform/PlatformClient.h>
#include <records/RecordExport.h>

namespace papayaway {

/** @return the JSON object with the keys customer, complete, incarnations and
 *    findings. "complete" is false if a range is missing or an object could
 *    not be read. */
nlohmann::json ToJson(const std::string& aCustomer,
                      const RecordExport& aExport);

/** Reads the stored records of one customer. */
class RecordExporter
{
public:
  /** Bounds the memory of an export. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 8 } << 20;

  explicit RecordExporter(PlatformClient& aPlatform)
    : mPlatform(aPlatform)
  {
  }

  /** Answers GET /v1/export?customer=NAME. */
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);

private:
  struct Reading;

  void ReadNext(const std::shared_ptr<Reading>& aReading);
  void Finish(const std::shared_ptr<Reading>& aReading, HttpResponse aResponse);

  PlatformClient& mPlatform;
  std::size_t mActive = 0;
};

} // namespace papayaway
