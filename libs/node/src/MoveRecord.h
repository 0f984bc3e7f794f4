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

/** @return the fact of a row, or nothing if the row is malformed. */
std::optional<MoveFact> ParseMove(const nlohmann::json& aJson);

/** @return the kind of event that a new state of a move is. */
EventKind KindOf(MoveState aState);

/** @return a sentence on the state of a move. */
std::string Describe(const MoveFact& aFact);

} // namespace papayaway
