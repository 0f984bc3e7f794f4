#include "RelayAgent.h"

#include <algorithm>
#include <iterator>

#include <mesh/Overlay.h>

namespace papayaway {

namespace {

constexpr Millis kTickPeriod{ 250 };
/** How long a node without links waits before it takes part in the election. A
 *  node that knows no other member ranks first, so when many nodes restart at
 *  once, each of them would request the lease. */
constexpr Millis kJoinTime = Seconds(3);
constexpr Millis kSearchPeriod = Seconds(1);
constexpr Millis kDirectoryPeriod = Seconds(30);
/** The most directory rows that one transaction deletes. */
constexpr std::size_t kMaxRemovals = 64;
/** Two standbys, because the first in rank may fail together with the relay. */
constexpr std::ptrdiff_t kStandbys = 2;

} // namespace

RelayAgent::RelayAgent(NodeContext& aContext,
                       PeerLinks& aLinks,
                       FactReplicator& aReplicator,
                       MemberAgent& aMembers,
                       PlatformClient& aClient)
  : mContext(aContext)
  , mLinks(aLinks)
  , mReplicator(aReplicator)
  , mMembers(aMembers)
  , mPlatform(aClient)
  , mElection(aContext.mSettings.mName, aContext.mSettings.mDataCentre)
  , mTickTimer(aContext.mLoop, [this] { Tick(); })
  , mSearchTimer(aContext.mLoop, [this] { ConnectToOtherRelays(); })
  , mDirectoryTimer(aContext.mLoop, [this] { ReconcileDirectory(); })
{
}

void
RelayAgent::Start()
{
  mJoinDeadline = SteadyNow() + kJoinTime;
  mTickTimer.StartRepeating(kTickPeriod);
  ConnectToOtherRelays();
  mDirectoryTimer.StartOnce(mContext.Jittered(kDirectoryPeriod));
}

void
RelayAgent::Stop()
{
  mTickTimer.Stop();
  mSearchTimer.Stop();
  mDirectoryTimer.Stop();
  Perform(mElection.Leave(SteadyNow()));
}

bool
RelayAgent::IsStandby() const
{
  const std::string& dataCentre = mContext.mSettings.mDataCentre;
  const FactStore& facts = mReplicator.Store();
  std::vector<std::string> order =
    RelayRankOrder(dataCentre, LiveMembers(facts, dataCentre));
  if (const auto* const relay = facts.Find<RelayFact>("relay/" + dataCentre)) {
    std::erase(order, relay->mNode);
  }
  const auto own =
    std::find(order.begin(), order.end(), mContext.mSettings.mName);
  return own != order.end() && std::distance(order.begin(), own) < kStandbys;
}

std::string
RelayAgent::LeaseName(const std::string& aDataCentre) const
{
  return "relay/" + aDataCentre;
}

void
RelayAgent::Tick()
{
  if (mLinks.MeshLinks().empty() && SteadyNow() < mJoinDeadline) {
    return;
  }
  Perform(mElection.Tick(
    SteadyNow(),
    LiveMembers(mReplicator.Store(), mContext.mSettings.mDataCentre),
    mContext.mRandom));
}

void
RelayAgent::Perform(const RelayActions& aActions)
{
  for (const RelayAction& action : aActions) {
    if (const auto* const request = std::get_if<RequestLease>(&action)) {
      SendLeaseRequest(*request);
    } else if (const auto* const act = std::get_if<ActAsRelay>(&action)) {
      AssumeRelayRole(act->mToken);
    } else if (std::holds_alternative<ActProvisionally>(action)) {
      const auto* const known = mReplicator.Store().Find<RelayFact>(
        "relay/" + mContext.mSettings.mDataCentre);
      AssumeRelayRole(known == nullptr ? 0 : known->mToken);
    } else if (std::holds_alternative<StopRelay>(action)) {
      mMembers.SetRelay(false);
    } else if (const auto* const release = std::get_if<ReleaseLease>(&action)) {
      mPlatform.ReleaseLease(LeaseName(mContext.mSettings.mDataCentre),
                             mContext.mSettings.mName,
                             release->mToken,
                             [](const auto&) {});
    }
  }
}

void
RelayAgent::SendLeaseRequest(const RequestLease& aRequest)
{
  const LeaseClaim claim{ .mName = LeaseName(mContext.mSettings.mDataCentre),
                          .mHolder = mContext.mSettings.mName,
                          .mValue = mLinks.Address(),
                          .mDuration = aRequest.mTtl };
  const auto onAnswer =
    [this, ttl = aRequest.mTtl](const Expected<LeaseClaimResult>& aAnswer) {
      LeaseResult result = LeaseRequestFailed{};
      if (aAnswer) {
        if (const auto* const grant = std::get_if<LeaseGrant>(&*aAnswer)) {
          result = LeaseGranted{ grant->mToken, ttl };
        } else {
          const auto& state = std::get<LeaseState>(*aAnswer);
          result = LeaseRefused{ state.mHolder, state.mRemaining };
        }
      }
      Perform(mElection.OnResult(SteadyNow(), result, mContext.mRandom));
    };
  if (aRequest.mToken) {
    mPlatform.RenewLease(claim, *aRequest.mToken, onAnswer);
  } else {
    mPlatform.AcquireLease(claim, onAnswer);
  }
}

void
RelayAgent::AssumeRelayRole(std::uint64_t aToken)
{
  const std::string& dataCentre = mContext.mSettings.mDataCentre;
  mContext.Record(
    { .mPart = "relay",
      .mKind = EventKind::RelayChanged,
      .mText = "this node relays for " + dataCentre + " with token " +
               std::to_string(aToken) +
               (mElection.Role() == RelayRole::Provisional ? ", provisionally"
                                                           : "") });
  mReplicator.Publish(RelayFact{ .mDataCentre = dataCentre,
                                 .mNode = mContext.mSettings.mName,
                                 .mPeerAddress = mLinks.Address(),
                                 .mToken = aToken });
  mMembers.SetRelay(true);
}

std::set<std::string>
RelayAgent::LinkedDataCentres() const
{
  std::set<std::string> linked{ mContext.mSettings.mDataCentre };
  for (const LinkInfo& link : mLinks.MeshLinks()) {
    linked.insert(link.mDataCentre);
  }
  return linked;
}

void
RelayAgent::ConnectToOtherRelays()
{
  mSearchTimer.StartOnce(mContext.Jittered(kSearchPeriod));
  if (!IsRelay()) {
    return;
  }
  if (mReplicator.Log().Version() == 0) {
    ConnectThroughDirectory();
    return;
  }
  // Once a link to another data centre exists, facts name the other relays. The
  // address for the first such link is read from the relay's lease.
  const std::set<std::string> linked = LinkedDataCentres();
  for (const RegionLayout& region : mReplicator.Current().mRegions) {
    for (const std::string& dataCentre : region.mDataCentres) {
      const auto* const known =
        mReplicator.Store().Find<RelayFact>("relay/" + dataCentre);
      if (linked.contains(dataCentre) || known != nullptr) {
        continue;
      }
      mPlatform.ReadLease(LeaseName(dataCentre),
                          [this](const Expected<LeaseState>& aLease) {
                            if (aLease && IsRelay()) {
                              mLinks.ConnectToAddress(aLease->mValue);
                            }
                          });
    }
  }
}

void
RelayAgent::ConnectThroughDirectory()
{
  // Without a document the data centres are known only from the directory rows
  // of their nodes. A link to any node supplies the facts that name the relays.
  mPlatform.ScanRows(
    "nodes/", [this](const Expected<std::vector<TableRow>>& aRows) {
      if (!aRows) {
        return;
      }
      std::set<std::string> known = LinkedDataCentres();
      for (const TableRow& row : *aRows) {
        const std::string parentKey = row.mKey.substr(0, row.mKey.rfind('/'));
        const std::string dataCentre =
          parentKey.substr(parentKey.rfind('/') + 1);
        const auto peer = row.mValue.find("peer");
        if (peer != row.mValue.end() && peer->is_string() &&
            known.insert(dataCentre).second) {
          mLinks.ConnectToAddress(peer->get<std::string>());
        }
      }
    });
}

void
RelayAgent::ReconcileDirectory()
{
  mDirectoryTimer.StartOnce(mContext.Jittered(kDirectoryPeriod));
  if (mElection.Role() != RelayRole::Relay) {
    return;
  }
  mPlatform.ScanRows("nodes/" + mContext.mSettings.mDataCentre + "/",
                     [this](const Expected<std::vector<TableRow>>& aRows) {
                       if (aRows) {
                         OnDirectory(*aRows);
                       }
                     });
}

void
RelayAgent::OnDirectory(const std::vector<TableRow>& aRows)
{
  Transaction removal{ .mOperation = RandomId(mContext.mRandom) };
  for (const TableRow& row : aRows) {
    const std::string node = row.mKey.substr(row.mKey.rfind('/') + 1);
    const MemberFact* const member = mReplicator.Store().Member(node);
    if (member == nullptr) {
      // A registered node that is not a known member may be in another
      // partition of the mesh, which neither side can detect by itself.
      const auto peer = row.mValue.find("peer");
      if (peer != row.mValue.end() && peer->is_string()) {
        mLinks.ConnectToAddress(peer->get<std::string>());
      }
    } else if (member->mState >= MemberState::Left &&
               removal.mDeletes.size() < kMaxRemovals) {
      removal.mConditions.push_back({ row.mKey, row.mVersion });
      removal.mDeletes.push_back(row.mKey);
    }
  }
  if (!removal.mDeletes.empty()) {
    mPlatform.Commit(removal, [](const auto&) {});
  }
}

} // namespace papayaway
