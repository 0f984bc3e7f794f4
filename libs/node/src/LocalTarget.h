#pragma once

#include <functional>
#include <optional>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>
#include <net/EventLoop.h>
#include <wire/Facts.h>

#include "NodeContext.h"

namespace papayaway {

/** What the target of this host says of itself. */
struct TargetAnnouncement
{
  std::string mService;
  std::string mVersion;
  std::string mAddress;
  /** Differs for each start of the target's process. */
  std::string mInstance;
  EndpointState mState = EndpointState::Starting;
  int mSlots = 1;
  int mConnections = 1;

  bool operator==(const TargetAnnouncement&) const = default;
};

/** Reads the JSON body of POST /v1/target. */
Expected<TargetAnnouncement> ParseAnnouncement(const std::string& aBody);

struct LocalTargetHandlers
{
  /** The endpoint fact of this node has changed. */
  std::function<void(const EndpointFact&)> mChanged;
  /** Another process took the place of an earlier one without a drain. */
  std::function<void()> mRestarted;
};

/**
 * Follows the target of this host by its announcements.
 *
 * Announcements also serve as heartbeats: a silent target is gone.
 */
class LocalTarget
{
public:
  LocalTarget(NodeContext& aContext, LocalTargetHandlers aHandlers);

  void OnAnnouncement(const TargetAnnouncement& aAnnouncement);

  /** Tells that the target refused a connection, so its process is gone. */
  void OnRefusedConnection();

  /** Takes the target out of service until its next process announces
   *  itself; calls in flight go on. */
  void Drain();

  /** @return the announced target unless it is gone. */
  [[nodiscard]] const std::optional<TargetAnnouncement>& Current() const
  {
    return mCurrent;
  }

  /** @return whether new calls may be given to the target. */
  [[nodiscard]] bool IsReady() const;

private:
  void Publish(EndpointState aState);

  NodeContext& mContext;
  LocalTargetHandlers mHandlers;
  std::optional<TargetAnnouncement> mCurrent;
  /** The last announcement, also while the target is gone. */
  std::optional<TargetAnnouncement> mLast;
  std::optional<EndpointFact> mPublished;
  std::uint64_t mSequence = 0;
  bool mDrained = false;
  Timer mSilence;
};

} // namespace papayaway
