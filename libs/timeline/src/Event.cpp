#include <timeline/Event.h>

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

using Name = std::pair<EventKind, std::string_view>;

constexpr std::array kNames{
  Name{ EventKind::Started, "started" },
  Name{ EventKind::Stopped, "stopped" },
  Name{ EventKind::DocumentApplied, "document-applied" },
  Name{ EventKind::DocumentRefused, "document-refused" },
  Name{ EventKind::Promotion, "promotion" },
  Name{ EventKind::MemberChanged, "member-changed" },
  Name{ EventKind::EndpointChanged, "endpoint-changed" },
  Name{ EventKind::RelayChanged, "relay-changed" },
  Name{ EventKind::MoveStage, "move-stage" },
  Name{ EventKind::MoveTakenBack, "move-taken-back" },
  Name{ EventKind::MoveFinished, "move-finished" },
  Name{ EventKind::Quarantined, "quarantined" },
  Name{ EventKind::Released, "released" },
  Name{ EventKind::Shed, "shed" },
  Name{ EventKind::Drain, "drain" },
  Name{ EventKind::LinkOpened, "link-opened" },
  Name{ EventKind::LinkLost, "link-lost" },
  Name{ EventKind::PlatformLost, "platform-lost" },
  Name{ EventKind::PlatformBack, "platform-back" },
  Name{ EventKind::RecordsDropped, "records-dropped" },
  Name{ EventKind::ConductorChanged, "conductor-changed" },
  Name{ EventKind::OwnershipChanged, "ownership-changed" },
  Name{ EventKind::TargetCrashed, "target-crashed" },
};

tl::unexpected<Error>
KeyError(const std::string& aKey)
{
  return Fail(ErrorCode::Invalid,
              "event: \"" + aKey + "\" is missing or invalid");
}

} // namespace

std::string_view
ToString(EventKind aKind)
{
  const auto* const found =
    std::find_if(kNames.begin(), kNames.end(), [&](const Name& aName) {
      return aName.first == aKind;
    });
  return found == kNames.end() ? std::string_view() : found->second;
}

std::optional<EventKind>
ParseEventKind(std::string_view aName)
{
  const auto* const found =
    std::find_if(kNames.begin(), kNames.end(), [&](const Name& aEntry) {
      return aEntry.second == aName;
    });
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return found->first;
}

nlohmann::json
ToJson(const Event& aEvent)
{
  return {
    { "physical_ms", aEvent.mTime.mPhysical },
    { "counter", aEvent.mTime.mCounter },
    { "node", aEvent.mTime.mNode },
    { "part", aEvent.mPart },
    { "kind", ToString(aEvent.mKind) },
    { "service", aEvent.mService },
    { "version", aEvent.mVersion },
    { "request", aEvent.mRequest },
    { "text", aEvent.mText },
  };
}

Expected<Event>
ParseEvent(const nlohmann::json& aJson)
{
  if (!aJson.is_object()) {
    return Fail(ErrorCode::Invalid, "event: not an object");
  }
  Event event;
  const auto physical = aJson.find("physical_ms");
  if (physical == aJson.end() || !physical->is_number_integer()) {
    return KeyError("physical_ms");
  }
  event.mTime.mPhysical = physical->get<std::int64_t>();
  const auto counter = aJson.find("counter");
  if (counter == aJson.end() || !counter->is_number_unsigned()) {
    return KeyError("counter");
  }
  event.mTime.mCounter = counter->get<std::uint64_t>();
  std::string kind;
  const std::array<std::pair<const char*, std::string*>, 7> texts{ {
    { "node", &event.mTime.mNode },
    { "part", &event.mPart },
    { "kind", &kind },
    { "service", &event.mService },
    { "version", &event.mVersion },
    { "request", &event.mRequest },
    { "text", &event.mText },
  } };
  for (const auto& [key, text] : texts) {
    const auto value = aJson.find(key);
    if (value == aJson.end() || !value->is_string()) {
      return KeyError(key);
    }
    *text = value->get<std::string>();
  }
  const std::optional<EventKind> parsed = ParseEventKind(kind);
  if (!parsed) {
    return KeyError("kind");
  }
  event.mKind = *parsed;
  return event;
}

} // namespace papayaway
