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
  /** "IPv4:port" of each entry; calls go round robin. */
  std::vector<std::string> mAddresses;
  /** Mean arrivals per second. */
  double mRate = 100;
  /** The time in which calls arrive. */
  Millis mDuration = Seconds(10);
  /** The number of calls; it replaces the duration if it is not 0. */
  std::uint64_t mCount = 0;
  std::string mMethod = "GET";
  /** In the path and the body, "{n}" becomes the number of the call. */
  std::string mPath = "/";
  std::string mBody;
  /** Call n carries "Idempotency-Key: PREFIX-n"; empty: no key. */
  std::string mKeyPrefix;
  std::string mCustomer;
  /** The value of Test-Depth; 0: no such header. */
  int mDepth = 0;
  /** How often a call without a success is sent again with its key. */
  int mRetrySameKey = 0;
  Millis mTimeout = Seconds(5);
  /** Connections to each address at most. */
  long mConnections = 120;
  /** The time between progress lines; 0: none. */
  Millis mProgress;
  std::uint64_t mSeed = 1;
  bool mJson = false;
};

/** @return the options of a command line; nothing if only the help text was
 *    asked for, which is then printed. */
Expected<std::optional<LoadOptions>> ParseLoadOptions(
  int aCount,
  const char* const* aArguments);

} // namespace papayaway
