#include "Announcer.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

constexpr Millis kPeriod{ 500 };

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
    // A node that answers slowly gets no second announcement meanwhile.
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
    mTimer.StartRepeating(kPeriod);
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
    // The node must not receive the earlier state after this one.
    mAfterPending = std::move(aDone);
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
      .mTimeout = kPeriod,
      .mConnectTimeout = kPeriod },
    [this, done = std::move(aDone)](const HttpResult&) {
      mPending = false;
      if (done) {
        done();
      }
      if (mAfterPending) {
        Send(std::exchange(mAfterPending, nullptr));
      }
    });
}

} // namespace papayaway
