#include "LoadOptions.h"

#include <iostream>

#include <boost/program_options.hpp>

#include <net/SocketAddress.h>

namespace papayaway {

Expected<std::optional<LoadOptions>>
ParseLoadOptions(int aCount, const char* const* aArguments)
{
  namespace po = boost::program_options;
  LoadOptions parsed;
  double seconds = parsed.mDuration.mCount / 1000;
  po::options_description description("papayaway-load");
  auto add = description.add_options();
  add("help", "print this text");
  add("address", po::value(&parsed.mAddresses), "IPv4:port; repeatable");
  add("rate", po::value(&parsed.mRate), "mean arrivals per second");
  add("seconds", po::value(&seconds), "time during which calls are started");
  add(
    "count", po::value(&parsed.mCount), "number of calls; replaces --seconds");
  add("method", po::value(&parsed.mMethod), "HTTP method");
  add("path",
      po::value(&parsed.mPath),
      "{n} is replaced by the number of the call");
  add("body",
      po::value(&parsed.mBody),
      "{n} is replaced by the number of the call");
  add("key-prefix",
      po::value(&parsed.mKeyPrefix),
      "prefix of the Idempotency-Key header");
  add("customer",
      po::value(&parsed.mCustomer),
      "value of the Papayaway-Customer header");
  add("depth", po::value(&parsed.mDepth), "value of the Test-Depth header");
  add("retry-same-key",
      po::value(&parsed.mRetrySameKey),
      "maximum retries of a failed call with the same key");
  add("timeout-ms",
      po::value<double>()->notifier(
        [&](double aMillis) { parsed.mTimeout = { aMillis }; }),
      "timeout of one attempt");
  add("connections",
      po::value(&parsed.mConnections),
      "maximum connections to each address");
  add("progress-ms",
      po::value<double>()->notifier(
        [&](double aMillis) { parsed.mProgress = { aMillis }; }),
      "time between progress lines on standard error");
  add("seed", po::value(&parsed.mSeed), "seed of the random arrival times");
  add("json", po::bool_switch(&parsed.mJson), "print the report as JSON");
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
  parsed.mDuration = Seconds(seconds);
  if (parsed.mAddresses.empty()) {
    return Fail(ErrorCode::Invalid, "--address is missing");
  }
  for (const std::string& address : parsed.mAddresses) {
    if (const auto valid = ParseAddress(address); !valid) {
      return tl::unexpected(valid.error());
    }
  }
  if (!(parsed.mRate > 0) || !(seconds >= 0) || parsed.mConnections < 1) {
    return Fail(ErrorCode::Invalid,
                "--rate, --seconds and --connections must be positive");
  }
  return parsed;
}

} // namespace papayaway
