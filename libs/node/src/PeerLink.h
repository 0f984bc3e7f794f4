#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "PeerLinks.h"

namespace papayaway {

/** Values of Heartbeat::mCount on call-only links, where a peer answers kPing
 *  with kPong. */
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
  /** When the oldest call was sent after which nothing was received; Never() if
   *  there is none. */
  Millis mUnansweredSince = Never();
  Millis mLastPing;
  std::vector<std::string> mQueuedMessages;
};

} // namespace papayaway
