#include <exception>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include "Checks.h"
#include "Demo.h"

namespace {

namespace options = boost::program_options;

int
Main(int aCount, char** aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "print this text")(
    "command", options::value<std::string>(), "demo")(
    "bin",
    options::value<std::string>()->default_value("build/release/bin"),
    "the folder of the programs")(
    "samples",
    options::value<std::string>()->default_value("samples"),
    "the folder of the sample documents");
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
    std::cout << "Usage: papayaway-lab demo [options]\n\n" << description;
    return values.count("help") != 0 ? 0 : 2;
  }
  const auto command = values["command"].as<std::string>();
  const auto programs = values["bin"].as<std::string>();
  const auto samples = values["samples"].as<std::string>();
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
