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

/** The state that the target of this host reports about itself. */
struct TargetAnnouncement
{
  std::string mService;
  std::string mVersion;
  std::string mAddress;
  /** An identifier that is new for each start of the target's process. */
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
  /** Called when the endpoint fact of this node has changed. */
  std::function<void(const EndpointFact&)> mChanged;
  /** Called when the target's process was replaced without a drain, or refused
   *  a connection. */
  std::function<void()> mRestarted;
  /** Called when the target has sent no announcement for 2 s and had not said
   *  that it leaves. */
  std::function<void()> mSilent;
};

/**
 * Tracks the state of the target of this host from its announcements.
 *
 * Announcements also serve as heartbeats: a target that sends none for 2 s is
 * published as gone.
 */
class LocalTarget
{
public:
  LocalTarget(NodeContext& aContext, LocalTargetHandlers aHandlers);

  void OnAnnouncement(const TargetAnnouncement& aAnnouncement);

  /** Handles a connection that the target refused, which means that its process
   *  has ended. */
  void OnRefusedConnection();

  /** Takes the target out of service until a new process announces itself.
   *  Calls in flight continue. */
  void Drain();

  /** @return the announced target unless it is gone. */
  [[nodiscard]] const std::optional<TargetAnnouncement>& Current() const
  {
    return mCurrent;
  }

  /** @return whether new calls may be sent to the target. */
  [[nodiscard]] bool IsReady() const;

private:
  void Publish(EndpointState aState);

  NodeContext& mContext;
  LocalTargetHandlers mHandlers;
  std::optional<TargetAnnouncement> mCurrent;
  /** The last announcement; kept while the target is gone. */
  std::optional<TargetAnnouncement> mLastAnnouncement;
  std::optional<EndpointFact> mPublished;
  std::uint64_t mSequence = 0;
  bool mDrained = false;
  Timer mSilenceTimer;
};

} // namespace papayaway
