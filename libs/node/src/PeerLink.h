#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "PeerLinks.h"

namespace papayaway {

/** The counts of a ping and its answer on links for calls. */
constexpr std::uint64_t kPing = 1;
constexpr std::uint64_t kPong = 2;

/** The state of one connection. */
struct PeerLinks::Link
{
  LinkInfo mInfo;
  std::string mAddress;
  std::unique_ptr<PeerSocket> mSocket;
  bool mReady = false;
  Millis mLastReceived;
  Millis mUnwantedSince;
  /** When the oldest message that nothing followed was sent; Never() if the
   *  peer has sent something since. */
  Millis mUnansweredSince = Never();
  Millis mLastPing;
  std::vector<std::string> mWaiting;
};

} // namespace papayaway
