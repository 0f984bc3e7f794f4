#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "PeerLinks.h"

namespace papayaway {

/** Values of Heartbeat::mCount on call-only links, where a peer answers kPing
 *  with kPong. */
constexpr std::uint64_t kPing = 1;
constexpr std::uint64_t kPong = 2;

/** A message that waits until its link is established. */
struct PeerLinks::QueuedMessage
{
  /** The id of the call if the message is one. */
  std::optional<std::uint64_t> mCallId;
  std::string mBytes;
};

/** The state of one connection. */
struct PeerLinks::Link
{
  LinkInfo mInfo;
  std::string mAddress;
  std::unique_ptr<PeerSocket> mSocket;
  bool mReady = false;
  Millis mLastReceived;
  /** Since when the link is a mesh link that this node no longer wants; for
   *  other links, the time of the last check. */
  Millis mUnwantedSince;
  /** The send time of the oldest call after which nothing was received; Never()
   *  if there is none. */
  Millis mUnansweredSince = Never();
  Millis mLastPing;
  std::vector<QueuedMessage> mQueuedMessages;
};

} // namespace papayaway
