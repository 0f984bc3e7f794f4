#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** @return the nodes of the sample customer Rafiki: 7 endpoints of the service
 *    ledger and 4 of hammer, in two regions with two data centres each. */
std::vector<NodePlan> RafikiPlans();

/** @return aCount nodes with a version of a service, spread over the data
 *    centres of Rafiki. */
std::vector<NodePlan> VersionPlans(const std::string& aService,
                                   const std::string& aVersion,
                                   int aCount);

/** @return aCount nodes spread over data centres and regions, each with one
 *    endpoint of one of aServices services. */
std::vector<NodePlan> UniformPlans(int aCount,
                                   int aDataCentres,
                                   int aRegions,
                                   int aServices);

/** @return a document for the nodes of UniformPlans(). */
nlohmann::json UniformDocument(int aDataCentres, int aRegions, int aServices);

/** Reads a JSON file. Throws std::runtime_error if it can't be read. */
nlohmann::json ReadJson(const std::string& aPath);

} // namespace papayaway
