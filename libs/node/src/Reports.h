#pragma once

#include <nlohmann/json.hpp>

#include <mesh/FactStore.h>
#include <timeline/EventRing.h>

namespace papayaway {

/** @return the members as a JSON array. */
nlohmann::json MembersReport(const FactStore& aFacts);

/** @return {"endpoints": […]}. */
nlohmann::json EndpointsReport(const FactStore& aFacts);

/** @return a JSON object with the relay node of each data centre. */
nlohmann::json RelaysReport(const FactStore& aFacts);

/** @return a JSON object with the keys node, events and overwritten. */
nlohmann::json TimelineReport(const std::string& aNode,
                              const EventRing& aEvents);

} // namespace papayaway
