#include <records/RequestRecord.h>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

const char*
NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

std::string
ToLine(const RequestRecord& aRecord)
{
  const nlohmann::json json{
    { "sequence", aRecord.mSequence },
    { "time_ms", aRecord.mWallTime.WholeMillis() },
    { "method", aRecord.mMethod },
    { "route", aRecord.mRoute },
    { "status", aRecord.mStatus },
    { "outcome", NameOf(aRecord.mOutcome) },
  };
  // The method comes from the caller and need not be valid UTF-8.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

std::optional<std::uint64_t>
SequenceOfLine(std::string_view aLine)
{
  const auto json = nlohmann::json::parse(aLine, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto sequence = json.find("sequence");
  if (sequence == json.end() || !sequence->is_number_unsigned()) {
    return std::nullopt;
  }
  return sequence->get<std::uint64_t>();
}

} // namespace papayaway
