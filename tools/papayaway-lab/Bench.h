#pragma once

#include <set>
#include <string>
#include <vector>

namespace papayaway {

struct BenchOptions
{
  /** The folder of the programs. */
  std::string mPrograms;
  /** Names of groups: control, latency, moves, platform. */
  std::set<std::string> mGroups;
  /** Numbers of nodes. */
  std::vector<int> mSizes;
  /** The file for the measures as JSON. */
  std::string mJsonFile;
};

/** Runs the groups and prints their measures.
 *  @return the number of measures over their bound, and of failed groups. */
int RunBench(const BenchOptions& aOptions);

} // namespace papayaway
