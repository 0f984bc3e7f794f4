#pragma once

#include <nlohmann/json_fwd.hpp>

#include <base/Finding.h>

namespace papayaway {

/** @return {"findings":[{"file","line","path","message"}]}, the body of a
 *    refused promotion. */
nlohmann::json ToJson(const Findings& aFindings);

/** Reads what ToJson() writes. Members that are missing or have another type
 *  are left empty. */
Findings FindingsFromJson(const nlohmann::json& aJson);

} // namespace papayaway
