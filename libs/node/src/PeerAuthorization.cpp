#include "PeerAuthorization.h"

#include <charconv>
#include <cmath>
#include <sstream>

#include <base/Hash.h>

namespace papayaway {

namespace {

constexpr std::string_view kScheme = "Papayaway";

std::string
Digest(const std::string& aNode,
       const std::string& aKey,
       const std::string& aTime)
{
  return HmacSha256(aKey, aNode + " " + aTime);
}

} // namespace

std::string
PeerAuthorization(const std::string& aNode,
                  const std::string& aKey,
                  Millis aWallNow)
{
  const std::string time = std::to_string(aWallNow.WholeMillis());
  return std::string(kScheme) + " " + aNode + " " + time + " " +
         Digest(aNode, aKey, time);
}

bool
IsValidPeerAuthorization(const std::string& aHeader,
                         const std::string& aKey,
                         Millis aWallNow)
{
  std::istringstream fields(aHeader);
  std::string scheme;
  std::string node;
  std::string time;
  std::string digest;
  if (!(fields >> scheme >> node >> time >> digest) || scheme != kScheme) {
    return false;
  }
  std::int64_t milliseconds = 0;
  const char* const end = time.data() + time.size();
  if (std::from_chars(time.data(), end, milliseconds).ptr != end) {
    return false;
  }
  const double difference =
    std::abs(static_cast<double>(milliseconds) - aWallNow.mCount);
  return difference <= kMaxClockDifference.mCount &&
         EqualConstantTime(digest, Digest(node, aKey, time));
}

} // namespace papayaway
