#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lab/Cluster.h>

namespace papayaway {

/** @return the nodes of Rafiki: ledger with 7 endpoints and hammer with 4 in
 *    two regions of two data centres. */
std::vector<NodePlan> RafikiPlans();

/** @return further nodes of a service's version, spread over the data
 *    centres of Rafiki. */
std::vector<NodePlan> ExtraPlans(const std::string& aService,
                                 const std::string& aVersion,
                                 int aCount);

/** @return aCount nodes spread over data centres and regions, each with one
 *    endpoint of one of aServices services. */
std::vector<NodePlan> UniformPlans(int aCount,
                                   int aDataCentres,
                                   int aRegions,
                                   int aServices);

/** @return a document that fits UniformPlans(). */
nlohmann::json UniformDocument(int aDataCentres, int aRegions, int aServices);

/** Reads a JSON file. Throws std::runtime_error if it can't be read. */
nlohmann::json ReadJson(const std::string& aPath);

} // namespace papayaway
