#pragma once

#include <set>
#include <string>
#include <vector>

namespace papayaway {

struct BenchOptions
{
  /** The folder that contains the Papayaway programs. */
  std::string mPrograms;
  /** The benchmark groups to run: control, latency, moves, platform. */
  std::set<std::string> mGroups;
  /** The cluster sizes to measure, in nodes. */
  std::vector<int> mSizes;
  /** The path of the JSON file that the measures are written to. */
  std::string mJsonFile;
};

/** Runs the benchmark groups and prints their measures.
 *  @return the number of measures over their bound plus the number of failed
 *    groups. */
int RunBench(const BenchOptions& aOptions);

} // namespace papayaway
