#include "Announcer.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

constexpr Millis kAnnouncementPeriod{ 500 };

} // namespace

Announcer::Announcer(EventLoop& aLoop,
                     HttpClient& aClient,
                     const TargetOptions& aOptions,
                     std::string aAddress,
                     std::string aInstance)
  : mClient(aClient)
  , mOptions(aOptions)
  , mAddress(std::move(aAddress))
  , mInstance(std::move(aInstance))
  , mTimer(aLoop, [this] {
    // At most one announcement is in flight, also if the node answers slowly.
    if (!mPending) {
      Send({});
    }
  })
{
}

void
Announcer::Start()
{
  if (!mOptions.mNodeAdmin.empty()) {
    Send({});
    mTimer.StartRepeating(kAnnouncementPeriod);
  }
}

void
Announcer::AnnounceDraining(EventLoop::Callback aDone)
{
  mState = "draining";
  if (mOptions.mNodeAdmin.empty()) {
    aDone();
    return;
  }
  if (mPending) {
    // Wait for the announcement in flight, so that the node can't receive
    // "ready" after "draining".
    mQueuedDrainCallback = std::move(aDone);
  } else {
    Send(std::move(aDone));
  }
}

void
Announcer::Send(EventLoop::Callback aDone)
{
  const nlohmann::json body{ { "service", mOptions.mService },
                             { "version", mOptions.mVersion },
                             { "address", mAddress },
                             { "slots", mOptions.mSlots },
                             { "connections", mOptions.mConnections },
                             { "state", mState },
                             { "instance", mInstance } };
  mPending = true;
  mClient.Send(
    { .mAddress = mOptions.mNodeAdmin,
      .mRequest = { .mMethod = "POST",
                    .mPath = "/v1/target",
                    .mHeaders = { { "Content-Type", "application/json" } },
                    .mBody = body.dump() },
      .mTimeout = kAnnouncementPeriod,
      .mConnectTimeout = kAnnouncementPeriod },
    [this, done = std::move(aDone)](const HttpResult&) {
      mPending = false;
      if (done) {
        done();
      }
      if (mQueuedDrainCallback) {
        Send(std::exchange(mQueuedDrainCallback, nullptr));
      }
    });
}

} // namespace papayaway
