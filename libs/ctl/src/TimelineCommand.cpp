#include <ctl/Commands.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <tuple>

#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

// The members by name with their admin addresses. Members that left on purpose
// are not asked, since their events ended with their process.
std::map<std::string, std::string>
MembersToAsk(const AdminReply& aStatus)
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
Admits(const TimelineFilter& aFilter, const Json& aEvent)
{
  const auto fits = [&](const std::string& aWanted, std::string_view aKey) {
    return aWanted.empty() || TextMember(aEvent, aKey) == aWanted;
  };
  return fits(aFilter.mService, "service") &&
         fits(aFilter.mVersion, "version") && fits(aFilter.mNode, "node") &&
         fits(aFilter.mRequest, "request");
}

// The hybrid logical time of an event.
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
  const AdminReply status =
    aContext.mClient.GetFromFirst(aContext.mOptions.mNodes, "/v1/status");
  if (!status.Succeeded()) {
    aContext.mErr << Printable(status.Problem()) << "\n";
    return ExitCode::Failed;
  }
  std::vector<std::string> names;
  std::vector<std::string> addresses;
  std::vector<std::string> notAsked;
  for (const auto& [name, address] : MembersToAsk(status)) {
    if (address.empty()) {
      notAsked.push_back(name);
    } else {
      names.push_back(name);
      addresses.push_back(address);
    }
  }
  const auto replies = aContext.mClient.GetFromAll(addresses, "/v1/timeline");
  std::vector<Json> events;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i].Succeeded()) {
      notAsked.push_back(names[i]);
      continue;
    }
    for (Json& event : ObjectsMember(replies[i].mBody, "events")) {
      if (Admits(aContext.mOptions.mFilter, event)) {
        events.push_back(std::move(event));
      }
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const Json& aLeft, const Json& aRight) {
      return TimeOf(aLeft) < TimeOf(aRight);
    });
  std::sort(notAsked.begin(), notAsked.end());
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut,
              { { "events", events }, { "not_asked", notAsked } });
  } else {
    PrintEvents(aContext.mOut, events);
  }
  for (const std::string& name : notAsked) {
    aContext.mErr << "node " << name << " could not be asked\n";
  }
  return notAsked.empty() ? ExitCode::Done : ExitCode::Partial;
}

} // namespace papayaway
