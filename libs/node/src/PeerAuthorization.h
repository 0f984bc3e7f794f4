#pragma once

#include <string>

#include <base/Millis.h>

namespace papayaway {

/** The largest accepted difference between the clocks of two hosts. */
constexpr Millis kMaxClockDifference = Seconds(120);

/** @return the Authorization header that proves knowledge of aKey. */
std::string PeerAuthorization(const std::string& aNode,
                              const std::string& aKey,
                              Millis aWallNow);

/** @return whether aHeader was made with aKey within kMaxClockDifference of
 *    aWallNow. */
bool IsValidPeerAuthorization(const std::string& aHeader,
                              const std::string& aKey,
                              Millis aWallNow);

} // namespace papayaway
