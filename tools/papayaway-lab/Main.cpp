#include <algorithm>
#include <exception>
#include <iostream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include "Bench.h"
#include "Checks.h"
#include "Demo.h"

namespace {

namespace options = boost::program_options;

constexpr int kLargestSize = 200;
const std::set<std::string> kGroups{ "control",
                                     "latency",
                                     "moves",
                                     "platform" };

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

/** Throws std::invalid_argument for unknown groups and invalid sizes. */
papayaway::BenchOptions
ReadBenchOptions(const options::variables_map& aValues)
{
  papayaway::BenchOptions bench{ .mPrograms = aValues["bin"].as<std::string>(),
                                 .mJsonFile =
                                   aValues["json"].as<std::string>() };
  for (const std::string& group :
       SplitAtCommas(aValues["only"].as<std::string>())) {
    if (!kGroups.contains(group)) {
      throw std::invalid_argument("unknown group \"" + group + "\"");
    }
    bench.mGroups.insert(group);
  }
  if (bench.mGroups.empty()) {
    bench.mGroups = kGroups;
  }
  for (const std::string& size :
       SplitAtCommas(aValues["sizes"].as<std::string>())) {
    const bool isNumber =
      !size.empty() && size.size() <= 3 &&
      std::all_of(size.begin(), size.end(), [](char aDigit) {
        return aDigit >= '0' && aDigit <= '9';
      });
    const int nodes = isNumber ? std::stoi(size) : 0;
    if (nodes < 12 || nodes > kLargestSize) {
      throw std::invalid_argument("a size must be from 12 to " +
                                  std::to_string(kLargestSize) + ", not \"" +
                                  size + "\"");
    }
    bench.mSizes.push_back(nodes);
  }
  if (bench.mSizes.empty()) {
    throw std::invalid_argument("--sizes is empty");
  }
  return bench;
}

int
RunBenchCommand(const options::variables_map& aValues)
{
  try {
    return papayaway::RunBench(ReadBenchOptions(aValues)) == 0 ? 0 : 1;
  } catch (const std::invalid_argument& error) {
    std::cerr << "papayaway-lab: " << error.what() << "\n";
    return 2;
  }
}

int
Main(int aCount, char** aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "print this text")(
    "command", options::value<std::string>(), "demo or bench")(
    "bin",
    options::value<std::string>()->default_value("build/release/bin"),
    "folder of the Papayaway programs")(
    "samples",
    options::value<std::string>()->default_value("samples"),
    "folder of the sample documents")(
    "only",
    options::value<std::string>()->default_value(""),
    "benchmark groups to run: control,latency,moves,platform; default: all")(
    "sizes",
    options::value<std::string>()->default_value("25,50,100"),
    "cluster sizes to measure, in nodes")(
    "json",
    options::value<std::string>()->default_value("build/bench.json"),
    "JSON file that the measures are written to");
  options::positional_options_description positions;
  positions.add("command", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(description)
                     .positional(positions)
                     .run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << "papayaway-lab: " << error.what() << "\n";
    return 2;
  }
  if (values.count("help") != 0 || values.count("command") == 0) {
    std::cout << "Usage: papayaway-lab demo|bench [options]\n\n" << description;
    return values.count("help") != 0 ? 0 : 2;
  }
  const auto command = values["command"].as<std::string>();
  const auto programs = values["bin"].as<std::string>();
  const auto samples = values["samples"].as<std::string>();
  if (command == "bench") {
    return RunBenchCommand(values);
  }
  papayaway::Checks checks;
  if (command == "demo") {
    papayaway::RunDemo(programs, samples, checks);
  } else {
    std::cerr << "papayaway-lab: unknown command " << command << "\n";
    return 2;
  }
  std::cout << checks.Made() - checks.Failed() << " passed, " << checks.Failed()
            << " failed" << std::endl;
  return checks.Failed() == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    return Main(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "papayaway-lab: " << error.what() << "\n";
    return 1;
  }
}
