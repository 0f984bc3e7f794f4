#include "RecordExporter.h"

#include <utility>
#include <vector>

#include "AdminApi.h"

namespace papayaway {

namespace {

/** Bounds the concurrent exports, because each may need twice
 *  RecordExporter::kMaxBytes of memory. */
constexpr std::size_t kMaxExports = 1;

nlohmann::json
RangeJson(const SequenceRange& aRange)
{
  return { { "first", aRange.mFirst }, { "last", aRange.mLast } };
}

} // namespace

struct RecordExporter::ExportJob
{
  std::shared_ptr<HttpExchange> mExchange;
  std::string mCustomer;
  std::vector<std::string> mNames;
  std::vector<RecordObject> mObjects;
};

nlohmann::json
ToJson(const std::string& aCustomer, const RecordExport& aExport)
{
  bool complete = aExport.mFindings.empty();
  auto incarnations = nlohmann::json::array();
  for (const IncarnationRecords& records : aExport.mIncarnations) {
    auto ranges = nlohmann::json::array();
    for (const SequenceRange& range : records.mRanges) {
      ranges.push_back(RangeJson(range));
    }
    auto gaps = nlohmann::json::array();
    for (const RecordGap& gap : records.mGaps) {
      complete = false;
      auto json = RangeJson(gap.mRange);
      json["dropped"] = gap.mDropped;
      gaps.push_back(std::move(json));
    }
    nlohmann::json json = { { "node", records.mNode },
                            { "incarnation", records.mIncarnation },
                            { "ranges", std::move(ranges) },
                            { "gaps", std::move(gaps) },
                            { "lines", records.mLines } };
    if (records.mFinal) {
      json["final"] = *records.mFinal;
    }
    incarnations.push_back(std::move(json));
  }
  auto findings = nlohmann::json::array();
  for (const Finding& finding : aExport.mFindings) {
    findings.push_back(
      { { "object", finding.mPath }, { "text", finding.mMessage } });
  }
  return { { "customer", aCustomer },
           { "complete", complete },
           { "incarnations", std::move(incarnations) },
           { "findings", std::move(findings) } };
}

void
RecordExporter::OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string customer = aExchange->Request().QueryValue("customer");
  if (customer.empty()) {
    aExchange->Respond(AdminError(400, "\"customer\" is missing"));
    return;
  }
  if (mActiveExports >= kMaxExports) {
    aExchange->Respond(AdminError(503, "another export is running here"));
    return;
  }
  ++mActiveExports;
  auto job = std::make_shared<ExportJob>();
  job->mExchange = aExchange;
  job->mCustomer = customer;
  mPlatform.ListObjects(
    RecordPrefix(customer),
    [this, job](const Expected<std::vector<ObjectInfo>>& aObjects) {
      if (!aObjects) {
        Finish(job,
               AdminError(503,
                          "the records can't be listed: " +
                            aObjects.error().mMessage));
        return;
      }
      std::uint64_t bytes = 0;
      for (const ObjectInfo& object : *aObjects) {
        bytes += object.mBytes;
        job->mNames.push_back(object.mName);
      }
      if (bytes > kMaxBytes) {
        Finish(job,
               AdminError(413,
                          "the records are larger than " +
                            std::to_string(kMaxBytes) + " bytes"));
        return;
      }
      ReadNext(job);
    });
}

void
RecordExporter::ReadNext(const std::shared_ptr<ExportJob>& aJob)
{
  if (aJob->mObjects.size() == aJob->mNames.size()) {
    const RecordExport result = ExportRecords(aJob->mObjects);
    Finish(
      aJob,
      JsonResponse(
        200,
        ToJson(aJob->mCustomer, result)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    return;
  }
  const std::string& name = aJob->mNames[aJob->mObjects.size()];
  mPlatform.GetObject(name, [this, aJob, name](Expected<std::string> aContent) {
    if (!aContent) {
      Finish(aJob,
             AdminError(503,
                        "object " + name +
                          " can't be read: " + aContent.error().mMessage));
      return;
    }
    aJob->mObjects.push_back({ name, std::move(*aContent) });
    ReadNext(aJob);
  });
}

void
RecordExporter::Finish(const std::shared_ptr<ExportJob>& aJob,
                       HttpResponse aResponse)
{
  --mActiveExports;
  aJob->mExchange->Respond(std::move(aResponse));
}

} // namespace papayaway
