#include <ctl/Commands.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <tuple>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

// @return the admin addresses of the members by name. Members that have left
//   are not included, since their events were lost when their process ended.
std::map<std::string, std::string>
AddressesToQuery(const AdminResponse& aStatus)
{
  std::map<std::string, std::string> members;
  for (const Json& member : ObjectsMember(aStatus.mBody, "members")) {
    if (TextMember(member, "state") != "left") {
      members[TextMember(member, "node")] = TextMember(member, "admin");
    }
  }
  members[TextMember(aStatus.mBody, "node")] = aStatus.mAddress;
  return members;
}

bool
Matches(const TimelineFilter& aFilter, const Json& aEvent)
{
  const auto equals = [&](const std::string& aExpected, std::string_view aKey) {
    return aExpected.empty() || TextMember(aEvent, aKey) == aExpected;
  };
  return equals(aFilter.mService, "service") &&
         equals(aFilter.mVersion, "version") && equals(aFilter.mNode, "node") &&
         equals(aFilter.mRequest, "request");
}

// @return the hybrid logical time of an event, as a sort key.
auto
TimeOf(const Json& aEvent)
{
  return std::tuple(NumberMember(aEvent, "physical_ms"),
                    NumberMember(aEvent, "counter"),
                    TextMember(aEvent, "node"));
}

void
PrintEvents(std::ostream& aOut, const std::vector<Json>& aEvents)
{
  for (const Json& event : aEvents) {
    std::string line = FormatTime(NumberMember(event, "physical_ms"));
    for (const char* key : { "node", "part", "kind" }) {
      line += " " + TextMember(event, key);
    }
    for (const char* key : { "service", "version", "request" }) {
      const std::string value = TextMember(event, key);
      if (!value.empty()) {
        line += std::string(" ") + key + "=" + value;
      }
    }
    aOut << line << " " << TextMember(event, "text") << "\n";
  }
}

} // namespace

ExitCode
RunTimeline(CtlContext& aContext)
{
  const AdminResponse status =
    aContext.mClient.GetFromFirst(aContext.mOptions.mNodes, "/v1/status");
  if (!status.Succeeded()) {
    aContext.mErr << Printable(status.ErrorMessage()) << "\n";
    return ExitCode::Failed;
  }
  std::vector<std::string> names;
  std::vector<std::string> addresses;
  std::vector<std::string> withoutResponse;
  for (const auto& [name, address] : AddressesToQuery(status)) {
    if (address.empty()) {
      withoutResponse.push_back(name);
    } else {
      names.push_back(name);
      addresses.push_back(address);
    }
  }
  const auto responses = aContext.mClient.GetFromAll(addresses, "/v1/timeline");
  std::vector<Json> events;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (!responses[i].Succeeded()) {
      withoutResponse.push_back(names[i]);
      continue;
    }
    for (Json& event : ObjectsMember(responses[i].mBody, "events")) {
      if (Matches(aContext.mOptions.mFilter, event)) {
        events.push_back(std::move(event));
      }
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const Json& aLeft, const Json& aRight) {
      return TimeOf(aLeft) < TimeOf(aRight);
    });
  std::sort(withoutResponse.begin(), withoutResponse.end());
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut,
              { { "events", events }, { "not_asked", withoutResponse } });
  } else {
    PrintEvents(aContext.mOut, events);
  }
  for (const std::string& name : withoutResponse) {
    aContext.mErr << "node " << name << " could not be asked\n";
  }
  return withoutResponse.empty() ? ExitCode::Done : ExitCode::Partial;
}

} // namespace papayaway
