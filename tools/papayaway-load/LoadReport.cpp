#include "LoadReport.h"

#include <sstream>

namespace papayaway {

namespace {

using nlohmann::json;

// Limits the memory use if a faulty server sends arbitrary versions or
// outcomes; values beyond the limit are counted as "other".
constexpr std::size_t kMaxDistinctNames = 100;

void
Count(std::map<std::string, std::uint64_t>& aCounts, std::string aName)
{
  if (!aCounts.contains(aName) && aCounts.size() >= kMaxDistinctNames) {
    aName = "other";
  }
  ++aCounts[aName];
}

std::string
StatusName(const HttpResult& aResult)
{
  switch (aResult.mFailure) {
    case HttpFailure::None:
      return std::to_string(aResult.mResponse.mStatus);
    case HttpFailure::NotConnected:
      return "not-connected";
    case HttpFailure::Timeout:
      return "timeout";
    case HttpFailure::ConnectionLost:
      return "connection-lost";
    case HttpFailure::Malformed:
      return "malformed";
    case HttpFailure::TooLarge:
      return "too-large";
    case HttpFailure::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

json
Summarize(const LatencyHistogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "p50", aHistogram.Quantile(0.5).mCount },
           { "p90", aHistogram.Quantile(0.9).mCount },
           { "p99", aHistogram.Quantile(0.99).mCount },
           { "p999", aHistogram.Quantile(0.999).mCount },
           { "max", aHistogram.Max().mCount } };
}

std::string
HeaderOr(const HttpResult& aResult, const char* aName, const char* aDefault)
{
  const std::string_view value = aResult.mResponse.mHeaders.Value(aName);
  return value.empty() ? aDefault : std::string(value);
}

} // namespace

void
LoadReport::CountSent(Millis aLag)
{
  ++mSent;
  mSendLag.Add(aLag);
}

void
LoadReport::CountResult(const HttpResult& aResult,
                        Millis aLatency,
                        bool aIsWrong)
{
  Count(mByStatus, StatusName(aResult));
  Count(mByOutcome, HeaderOr(aResult, "Papayaway-Outcome", "none"));
  Count(mByVersion, HeaderOr(aResult, "Target-Version", "none"));
  mWrongBodies += aIsWrong ? 1 : 0;
  mAllLatencies.Add(aLatency);
  if (aResult.mFailure == HttpFailure::None &&
      aResult.mResponse.mStatus / 100 == 2) {
    mSuccessLatencies.Add(aLatency);
  }
}

json
LoadReport::ToJson() const
{
  return { { "sent", mSent },
           { "ended", Ended() },
           { "retries", mRetries },
           { "dropped", mDropped },
           { "status", mByStatus },
           { "outcome", mByOutcome },
           { "version", mByVersion },
           { "wrong_bodies", mWrongBodies },
           { "latency_ms", Summarize(mSuccessLatencies) },
           { "latency_all_ms", Summarize(mAllLatencies) },
           { "send_lag_ms", Summarize(mSendLag) } };
}

std::string
LoadReport::ToText() const
{
  std::ostringstream text;
  const json report = ToJson();
  for (const auto& [name, value] : report.items()) {
    text << name << ":";
    if (value.is_object()) {
      for (const auto& [part, number] : value.items()) {
        text << " " << part << "=" << number.dump();
      }
    } else {
      text << " " << value.dump();
    }
    text << "\n";
  }
  return text.str();
}

bool
IsResponseTo(const HttpRequest& aRequest, const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  const auto is = [&](const char* aName, std::string_view aValue) {
    return body.contains(aName) && body.at(aName).is_string() &&
           body.at(aName).get_ref<const std::string&>() == aValue;
  };
  return body.is_object() && is("path", aRequest.mPath) &&
         is("echo", aRequest.mBody) &&
         is("key", aRequest.mHeaders.Value("Idempotency-Key"));
}

} // namespace papayaway
