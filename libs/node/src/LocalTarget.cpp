#include "LocalTarget.h"

#include <array>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include <net/SocketAddress.h>

namespace papayaway {

namespace {

/** The time of four announcements, which a target sends every 500 ms. */
constexpr Millis kMaxSilence = Seconds(2);
constexpr std::size_t kMaxNameLength = 128;
constexpr int kMaxSlots = 100000;

constexpr std::array<std::pair<std::string_view, EndpointState>, 4> kStates{
  { { "starting", EndpointState::Starting },
    { "ready", EndpointState::Ready },
    { "draining", EndpointState::Draining },
    { "gone", EndpointState::Gone } }
};

std::string
TextField(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

int
CountField(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || !found->is_number_integer()) {
    return 0;
  }
  const auto value = found->get<std::int64_t>();
  return value > 0 && value <= kMaxSlots ? static_cast<int>(value) : 0;
}

std::string_view
StateName(EndpointState aState)
{
  return kStates[static_cast<std::size_t>(aState)].first;
}

} // namespace

Expected<TargetAnnouncement>
ParseAnnouncement(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::Invalid, "the body is not a JSON object");
  }
  TargetAnnouncement announcement{ .mService = TextField(json, "service"),
                                   .mVersion = TextField(json, "version"),
                                   .mAddress = TextField(json, "address"),
                                   .mInstance = TextField(json, "instance"),
                                   .mSlots = CountField(json, "slots"),
                                   .mConnections =
                                     CountField(json, "connections") };
  for (const std::string* const name : { &announcement.mService,
                                         &announcement.mVersion,
                                         &announcement.mInstance }) {
    if (name->empty() || name->size() > kMaxNameLength) {
      return Fail(ErrorCode::Invalid,
                  "service, version or instance is missing or too long");
    }
  }
  if (const auto address = ParseAddress(announcement.mAddress); !address) {
    return tl::unexpected(address.error());
  }
  if (announcement.mSlots == 0 || announcement.mConnections == 0) {
    return Fail(ErrorCode::Invalid, "slots or connections are out of range");
  }
  const std::string state = TextField(json, "state");
  for (const auto& [name, value] : kStates) {
    if (name == state) {
      announcement.mState = value;
      return announcement;
    }
  }
  return Fail(ErrorCode::Invalid, "state \"" + state + "\" is unknown");
}

LocalTarget::LocalTarget(NodeContext& aContext, LocalTargetHandlers aHandlers)
  : mContext(aContext)
  , mHandlers(std::move(aHandlers))
  , mSilenceTimer(aContext.mLoop, [this] {
    const bool leaving =
      mDrained || (mCurrent && mCurrent->mState == EndpointState::Draining);
    mCurrent.reset();
    if (!leaving) {
      mHandlers.mSilent();
    }
    Publish(EndpointState::Gone);
  })
{
}

void
LocalTarget::OnAnnouncement(const TargetAnnouncement& aAnnouncement)
{
  const bool isNewInstance =
    mLastAnnouncement &&
    mLastAnnouncement->mInstance != aAnnouncement.mInstance;
  if (isNewInstance && mLastAnnouncement->mState != EndpointState::Draining &&
      mLastAnnouncement->mState != EndpointState::Gone) {
    mHandlers.mRestarted();
  }
  if (!mCurrent || isNewInstance) {
    mDrained = false;
  }
  mCurrent = aAnnouncement;
  mLastAnnouncement = aAnnouncement;
  if (aAnnouncement.mState == EndpointState::Gone) {
    mSilenceTimer.Stop();
    mCurrent.reset();
    Publish(EndpointState::Gone);
    return;
  }
  mSilenceTimer.StartOnce(kMaxSilence);
  Publish(mDrained ? EndpointState::Draining : aAnnouncement.mState);
}

void
LocalTarget::OnRefusedConnection()
{
  if (mCurrent) {
    mSilenceTimer.Stop();
    mCurrent.reset();
    mHandlers.mRestarted();
    Publish(EndpointState::Gone);
  }
}

void
LocalTarget::Drain()
{
  mDrained = true;
  if (mCurrent) {
    Publish(EndpointState::Draining);
  }
}

bool
LocalTarget::IsReady() const
{
  return mCurrent && !mDrained && mCurrent->mState == EndpointState::Ready;
}

void
LocalTarget::Publish(EndpointState aState)
{
  EndpointFact fact = mPublished.value_or(EndpointFact{});
  fact.mNode = mContext.mSettings.mName;
  fact.mDataCentre = mContext.mSettings.mDataCentre;
  fact.mRegion = mContext.mSettings.mRegion;
  fact.mIncarnation = mContext.mIncarnation;
  fact.mState = aState;
  if (mCurrent) {
    fact.mService = mCurrent->mService;
    fact.mVersion = mCurrent->mVersion;
    fact.mSlots = mCurrent->mSlots;
  }
  if (fact == mPublished) {
    return;
  }
  fact.mSequence = ++mSequence;
  mPublished = fact;
  mContext.Record({ .mPart = "target",
                    .mKind = EventKind::EndpointChanged,
                    .mService = fact.mService,
                    .mVersion = fact.mVersion,
                    .mText = "target of " + fact.mService + " " +
                             fact.mVersion + " is " +
                             std::string(StateName(aState)) });
  mHandlers.mChanged(fact);
}

} // namespace papayaway
