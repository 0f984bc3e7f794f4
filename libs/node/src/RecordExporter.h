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

/** Exports the stored records of a customer. */
class RecordExporter
{
public:
  /** Bounds the memory of an export; larger ones are refused. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 8 } << 20;

  explicit RecordExporter(PlatformClient& aPlatform)
    : mPlatform(aPlatform)
  {
  }

  /** Answers GET /v1/export?customer=NAME. */
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);

private:
  struct ExportJob;

  void ReadNext(const std::shared_ptr<ExportJob>& aJob);
  void Finish(const std::shared_ptr<ExportJob>& aJob, HttpResponse aResponse);

  PlatformClient& mPlatform;
  std::size_t mActiveExports = 0;
};

} // namespace papayaway
