#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <timeline/Event.h>
#include <wire/Facts.h>

namespace papayaway {

/** @return the key of the move's row in the platform's table. */
std::string MoveKeyOf(const MoveFact& aFact);

/** @return the value of the move's row. */
nlohmann::json ToJson(const MoveFact& aFact);

/** @return the fact in a row's value, or nullopt if it is malformed. */
std::optional<MoveFact> ParseMove(const nlohmann::json& aJson);

/** @return the event kind with which a state of a move is recorded. */
EventKind KindOf(MoveState aState);

/** @return a description of the move's state for the timeline. */
std::string Describe(const MoveFact& aFact);

} // namespace papayaway
