#include <sidecar/CapAgent.h>

#include <utility>

namespace papayaway::sidecar {

using gateway::CapDecision;
using gateway::CapOutcome;

namespace {

/** How often held requests are checked; short against the shortest hold, a
 * tenth of an objective of 300 ms. */
constexpr Millis kHoldCheckPeriod{ 10 };

} // namespace

CapAgent::CapAgent(EventLoop& aLoop,
                   gateway::CapNodeOptions aOptions,
                   CapAgentHandlers aHandlers,
                   EventLog& aLog,
                   SidecarMetrics& aMetrics)
  : mNode(std::move(aOptions), BootNow())
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mHoldTimer(aLoop, [this] { Process(); })
{
}

void
CapAgent::SetTenants(const std::vector<gateway::Tenant>& aTenants)
{
  mNode.SetTenants(aTenants, BootNow());
  Process();
}

void
CapAgent::Admit(const std::string& aTenant, Millis aMaxHold, Decided aDecided)
{
  if (aTenant.empty()) {
    aDecided({ .mTokenExpiry = Never() });
    return;
  }
  const Millis now = BootNow();
  const std::uint64_t id = mNextId++;
  const CapDecision decision = mNode.Admit(aTenant, id, now + aMaxHold, now);
  if (decision.mOutcome != CapOutcome::Held) {
    aDecided(decision);
    return;
  }
  if (mHeld.empty()) {
    mHoldTimer.StartRepeating(kHoldCheckPeriod);
  }
  mHeld.emplace(id, std::move(aDecided));
  Process();
}

void
CapAgent::Credit(const std::string& aTenant, Millis aTokenExpiry)
{
  if (!aTenant.empty()) {
    mNode.Credit(aTenant, aTokenExpiry, BootNow());
  }
}

void
CapAgent::OnReport(const std::string& aNode, const CapReportMessage& aMessage)
{
  mNode.OnReport(aNode, aMessage.mReport, BootNow());
  Process();
}

void
CapAgent::OnGrant(const std::string& aNode,
                  bool aFromOwnDataCentre,
                  const CapGrantMessage& aMessage)
{
  mNode.OnAnswer(
    aNode, aFromOwnDataCentre, aMessage.mAnswer, mHandlers.mView(), BootNow());
  Process();
}

void
CapAgent::Tick()
{
  if (!mNode.HasCaps() && !mWasCoordinator) {
    return;
  }
  const Millis now = BootNow();
  mNode.Tick(mHandlers.mView(), now);
  mMetrics.mCapShare.Set(mNode.Share(now));
  mMetrics.mCapHeld.Set(static_cast<double>(mNode.HeldRequests()));
  if (std::exchange(mWasCoordinator, mNode.IsCoordinator()) !=
      mNode.IsCoordinator()) {
    mLog.WriteStateChange("caps",
                          mWasCoordinator ? "coordinator_started"
                                          : "coordinator_ended",
                          { { "share", mNode.Share(now) } });
  }
  Process();
}

void
CapAgent::Process()
{
  for (const gateway::CapSending& sending : mNode.TakeSendings()) {
    mHandlers.mSend(sending);
  }
  for (const gateway::CapRelease& release : mNode.TakeReleases(BootNow())) {
    // A decision may lead to further calls of this object.
    if (const auto held = mHeld.extract(release.mId); !held.empty()) {
      held.mapped()(release.mDecision);
    }
  }
  if (mHeld.empty()) {
    mHoldTimer.Stop();
  }
}

} // namespace papayaway::sidecar
