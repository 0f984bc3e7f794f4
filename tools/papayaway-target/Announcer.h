#pragma once

#include <string>

#include <net/EventLoop.h>
#include <net/HttpClient.h>

#include "TargetOptions.h"

namespace papayaway {

/** Announces the target to the node beside it. */
class Announcer
{
public:
  /** @param aAddress the address of the target.
   *  @param aInstance a random id of this process, by which the node sees a
   *    restart. */
  Announcer(EventLoop& aLoop,
            HttpClient& aClient,
            const TargetOptions& aOptions,
            std::string aAddress,
            std::string aInstance);

  /** Announces now and then every 500 ms. */
  void Start();

  /** Announces that the target drains and runs aDone when the node has
   *  answered or can't be reached. */
  void AnnounceDraining(EventLoop::Callback aDone);

private:
  void Send(EventLoop::Callback aDone);

  HttpClient& mClient;
  const TargetOptions& mOptions;
  std::string mAddress;
  std::string mInstance;
  std::string mState = "ready";
  bool mPending = false;
  EventLoop::Callback mAfterPending;
  Timer mTimer;
};

} // namespace papayaway
