#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include <base/Error.h>
#include <timeline/HybridClock.h>

namespace papayaway {

/** The kind of an event. ToString() returns its name in the JSON form. */
enum class EventKind
{
  Started,
  Stopped,
  DocumentApplied,
  DocumentRefused,
  Promotion,
  MemberChanged,
  EndpointChanged,
  RelayChanged,
  MoveStage,
  MoveTakenBack,
  MoveFinished,
  Quarantined,
  Released,
  Shed,
  Drain,
  LinkOpened,
  LinkLost,
  PlatformLost,
  PlatformBack,
  RecordsDropped,
  ConductorChanged,
  OwnershipChanged,
  TargetCrashed,
};

/** @return the name, for example "document-applied". */
std::string_view ToString(EventKind aKind);

/** @return the kind named aName, or nothing. */
std::optional<EventKind> ParseEventKind(std::string_view aName);

/** One entry of the timeline. Fields that do not apply are empty. */
struct Event
{
  HybridTime mTime;
  /** The component that reports the event, for example "proxy". */
  std::string mPart;
  EventKind mKind = EventKind::Started;
  std::string mService;
  std::string mVersion;
  /** The id or fingerprint of a request. */
  std::string mRequest;
  /** A human-readable description. */
  std::string mText;

  bool operator==(const Event&) const = default;
};

/** @return the JSON object with the keys physical_ms, counter, node, part,
 *    kind, service, version, request and text. */
nlohmann::json ToJson(const Event& aEvent);

/** Parses the JSON object that ToJson() returns.
 *  @return the event, or an error that names the invalid key. */
Expected<Event> ParseEvent(const nlohmann::json& aJson);

} // namespace papayaway
