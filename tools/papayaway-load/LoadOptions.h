#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>

namespace papayaway {

struct LoadOptions
{
  /** "IPv4:port" of each server; calls are distributed round robin. */
  std::vector<std::string> mAddresses;
  /** Mean arrivals per second. */
  double mRate = 100;
  /** The time during which calls are started. */
  Millis mDuration = Seconds(10);
  /** The number of calls; if it is not 0, mDuration is ignored. */
  std::uint64_t mCount = 0;
  std::string mMethod = "GET";
  /** In the path and the body, "{n}" is replaced by the number of the call. */
  std::string mPath = "/";
  std::string mBody;
  /** Call n carries "Idempotency-Key: PREFIX-n"; empty: no key. */
  std::string mKeyPrefix;
  std::string mCustomer;
  /** The value of the Test-Depth header; 0: the header is not sent. */
  int mDepth = 0;
  /** How often a call that failed or got status 5xx or 429 is sent again with
   *  the same key. */
  int mRetrySameKey = 0;
  Millis mTimeout = Seconds(5);
  /** The maximum number of connections to each address. */
  long mConnections = 120;
  /** The time between progress lines; 0: no progress lines. */
  Millis mProgress;
  std::uint64_t mSeed = 1;
  bool mJson = false;
};

/** Parses the command line. Prints the help text if it contains --help.
 *  @return the options, or nothing if the help text was printed. */
Expected<std::optional<LoadOptions>> ParseLoadOptions(
  int aCount,
  const char* const* aArguments);

} // namespace papayaway
