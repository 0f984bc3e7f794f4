#pragma once

#include <string>

#include <base/Millis.h>

namespace papayaway {

/** Clocks of two hosts may differ by this much. */
constexpr Millis kMaxClockDifference = Seconds(120);

/** @return the Authorization header that proves knowledge of aKey. */
std::string PeerAuthorization(const std::string& aNode,
                              const std::string& aKey,
                              Millis aWallNow);

/** @return whether aHeader was made with aKey at about aWallNow. */
bool IsValidPeerAuthorization(const std::string& aHeader,
                              const std::string& aKey,
                              Millis aWallNow);

} // namespace papayaway
