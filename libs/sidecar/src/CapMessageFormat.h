#pragma once

#include <nlohmann/json_fwd.hpp>

#include <gateway/CapMessages.h>

namespace papayaway::sidecar {

/** Convert the messages of the usage caps to and from arrays whose first
 * element is the type of the message. The functions that decode throw
 * json::exception for values of the wrong type or out of range. */
nlohmann::json CapReportToJson(int aType, const gateway::CapReport& aReport);
nlohmann::json CapAnswerToJson(int aType, const gateway::CapAnswer& aAnswer);
gateway::CapReport CapReportFromJson(const nlohmann::json& aList);
gateway::CapAnswer CapAnswerFromJson(const nlohmann::json& aList);

} // namespace papayaway::sidecar
