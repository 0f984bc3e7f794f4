#pragma once

#include <string>

#include <net/EventLoop.h>
#include <net/HttpClient.h>

#include "TargetOptions.h"

namespace papayaway {

/** Announces the target and its state to the node on the same host. */
class Announcer
{
public:
  /** @param aAddress the address of the target.
   *  @param aInstance a random id of this process, from which the node
   *    detects a restart. */
  Announcer(EventLoop& aLoop,
            HttpClient& aClient,
            const TargetOptions& aOptions,
            std::string aAddress,
            std::string aInstance);

  /** Announces the target immediately and then every 500 ms. */
  void Start();

  /** Announces that the target is draining. Calls aDone when the node has
   *  answered or the announcement has failed. */
  void AnnounceDraining(EventLoop::Callback aDone);

private:
  void Send(EventLoop::Callback aDone);

  HttpClient& mClient;
  const TargetOptions& mOptions;
  std::string mAddress;
  std::string mInstance;
  std::string mState = "ready";
  bool mPending = false;
  EventLoop::Callback mQueuedDrainCallback;
  Timer mTimer;
};

} // namespace papayaway
