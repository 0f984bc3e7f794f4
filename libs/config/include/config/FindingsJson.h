#pragma once

#include <nlohmann/json_fwd.hpp>

#include <base/Finding.h>

namespace papayaway {

/** @return {"findings":[{"file","line","path","message"}]}, the response body
 *    for a promotion whose document is invalid. */
nlohmann::json ToJson(const Findings& aFindings);

/** Parses the output of ToJson(). Members that are missing or have the wrong
 *  type keep their default values. */
Findings FindingsFromJson(const nlohmann::json& aJson);

} // namespace papayaway
