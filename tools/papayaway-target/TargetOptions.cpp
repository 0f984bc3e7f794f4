#include "TargetOptions.h"

#include <array>
#include <iostream>
#include <utility>

#include <boost/program_options.hpp>

namespace papayaway {

namespace {

namespace po = boost::program_options;

constexpr std::array<std::pair<const char*, TargetFault>, 6> kFaults{ {
  { "none", TargetFault::None },
  { "fail", TargetFault::Fail },
  { "slow", TargetFault::Slow },
  { "late-fail", TargetFault::LateFail },
  { "load-fail", TargetFault::LoadFail },
  { "route-fail", TargetFault::RouteFail },
} };

} // namespace

Expected<std::optional<TargetOptions>>
ParseTargetOptions(int aCount, const char* const* aArguments)
{
  TargetOptions parsed;
  std::string fault = "none";
  const auto millis = [](Millis& aMember) {
    return po::value<double>()->notifier(
      [&aMember](double aCount) { aMember = { aCount }; });
  };
  po::options_description description("papayaway-target");
  auto add = description.add_options();
  add("help", "print this text");
  add("listen",
      po::value(&parsed.mListen),
      "IPv4:port; port 0 selects a free port");
  add("service", po::value(&parsed.mService), "name of the service");
  add("version", po::value(&parsed.mVersion), "name of the version");
  add("node-admin",
      po::value(&parsed.mNodeAdmin),
      "IPv4:port of the node to announce to");
  add("slots",
      po::value(&parsed.mSlots),
      "maximum number of concurrent requests");
  add("connections",
      po::value(&parsed.mConnections),
      "announced maximum number of connections");
  add("work-ms", millis(parsed.mMeanWorkTime), "mean work time of a request");
  add("cold-start-ms",
      millis(parsed.mColdStart),
      "time after the start during which requests take longer");
  add("fault",
      po::value(&fault),
      "none, fail, slow, late-fail, load-fail or route-fail");
  add("fault-after-ms",
      millis(parsed.mFaultAfter),
      "time from the start to the fault");
  add("fault-route",
      po::value(&parsed.mFaultRoute),
      "path prefix for route-fail");
  add("fault-rate",
      po::value(&parsed.mFaultRate),
      "fraction of affected requests, from 0 to 1");
  add("crash-on",
      po::value(&parsed.mCrashOn),
      "exit on a request that contains this text");
  add("silence-after",
      po::value(&parsed.mSilenceAfter),
      "requests after which a connection gets no more responses");
  add("call-next",
      po::value(&parsed.mCallNext),
      "IPv4:port/path of the next target of a chain");
  add("lie",
      po::bool_switch(&parsed.mAlwaysReportsIdle),
      "always report healthy and idle");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    return Fail(ErrorCode::Invalid, error.what());
  }
  if (values.contains("help")) {
    std::cout << description;
    return std::nullopt;
  }
  for (const auto& [name, value] : kFaults) {
    if (fault == name) {
      parsed.mFault = value;
      fault.clear();
    }
  }
  if (!fault.empty()) {
    return Fail(ErrorCode::Invalid,
                "unknown value \"" + fault + "\" of --fault");
  }
  if (parsed.mSlots < 1) {
    return Fail(ErrorCode::Invalid, "--slots must be at least 1");
  }
  if (!parsed.mCallNext.empty() &&
      parsed.mCallNext.find('/') == std::string::npos) {
    return Fail(ErrorCode::Invalid,
                "--call-next must have the form IPv4:port/path");
  }
  return parsed;
}

} // namespace papayaway
