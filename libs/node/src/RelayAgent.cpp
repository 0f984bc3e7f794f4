#include "RelayAgent.h"

#include <algorithm>
#include <iterator>

#include <mesh/Overlay.h>

namespace papayaway {

namespace {

constexpr Millis kTickPeriod{ 250 };
/** A node that knows no other member yet would claim the lease as the first in
 *  rank. In a herd of restarts every node would, so it first waits to join. */
constexpr Millis kJoinTime = Seconds(3);
constexpr Millis kSearchPeriod = Seconds(1);
constexpr Millis kDirectoryPeriod = Seconds(30);
/** Rows that one transaction removes. */
constexpr std::size_t kMaxRemovals = 64;
/** Two, because the first in rank may fail together with the relay. */
constexpr std::ptrdiff_t kStandbys = 2;

} // namespace

RelayAgent::RelayAgent(NodeContext& aContext,
                       PeerLinks& aLinks,
                       FactSpreader& aSpreader,
                       MemberAgent& aMembers,
                       PlatformClient& aClient)
  : mContext(aContext)
  , mLinks(aLinks)
  , mSpreader(aSpreader)
  , mMembers(aMembers)
  , mClient(aClient)
  , mElection(aContext.mSettings.mName, aContext.mSettings.mDataCentre)
  , mTickTimer(aContext.mLoop, [this] { Tick(); })
  , mSearchTimer(aContext.mLoop, [this] { FindOtherRelays(); })
  , mDirectoryTimer(aContext.mLoop, [this] { TidyDirectory(); })
{
}

void
RelayAgent::Start()
{
  mJoinUntil = SteadyNow() + kJoinTime;
  mTickTimer.StartRepeating(kTickPeriod);
  FindOtherRelays();
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
  const FactStore& facts = mSpreader.Store();
  std::vector<std::string> order =
    RankOrder(dataCentre, LiveMembers(facts, dataCentre));
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
  if (mLinks.MeshLinks().empty() && SteadyNow() < mJoinUntil) {
    return;
  }
  Perform(mElection.Tick(
    SteadyNow(),
    LiveMembers(mSpreader.Store(), mContext.mSettings.mDataCentre),
    mContext.mRandom));
}

void
RelayAgent::Perform(const RelayActions& aActions)
{
  for (const RelayAction& action : aActions) {
    if (const auto* const request = std::get_if<RequestLease>(&action)) {
      Request(*request);
    } else if (const auto* const act = std::get_if<ActAsRelay>(&action)) {
      Act(act->mToken);
    } else if (std::holds_alternative<ActProvisionally>(action)) {
      const auto* const known = mSpreader.Store().Find<RelayFact>(
        "relay/" + mContext.mSettings.mDataCentre);
      Act(known == nullptr ? 0 : known->mToken);
    } else if (std::holds_alternative<StopRelay>(action)) {
      mMembers.SetRelay(false);
    } else if (const auto* const release = std::get_if<ReleaseLease>(&action)) {
      mClient.ReleaseLease(LeaseName(mContext.mSettings.mDataCentre),
                           mContext.mSettings.mName,
                           release->mToken,
                           [](const auto&) {});
    }
  }
}

void
RelayAgent::Request(const RequestLease& aRequest)
{
  const LeaseClaim claim{ .mName = LeaseName(mContext.mSettings.mDataCentre),
                          .mHolder = mContext.mSettings.mName,
                          .mValue = mLinks.Address(),
                          .mDuration = aRequest.mTtl };
  const auto onAnswer =
    [this, ttl = aRequest.mTtl](const Expected<LeaseAnswer>& aAnswer) {
      LeaseResult result = LeaseUnanswered{};
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
    mClient.RenewLease(claim, *aRequest.mToken, onAnswer);
  } else {
    mClient.AcquireLease(claim, onAnswer);
  }
}

void
RelayAgent::Act(std::uint64_t aToken)
{
  const std::string& dataCentre = mContext.mSettings.mDataCentre;
  mContext.Record(
    { .mPart = "relay",
      .mKind = EventKind::RelayChanged,
      .mText = "this node relays for " + dataCentre + " with token " +
               std::to_string(aToken) +
               (mElection.Role() == RelayRole::Provisional ? ", provisionally"
                                                           : "") });
  mSpreader.Publish(RelayFact{ .mDataCentre = dataCentre,
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
RelayAgent::FindOtherRelays()
{
  mSearchTimer.StartOnce(mContext.Jittered(kSearchPeriod));
  if (!IsRelay()) {
    return;
  }
  if (mSpreader.Log().Version() == 0) {
    SearchDirectory();
    return;
  }
  // The facts name the relays once a link to another data centre exists; the
  // leases at the platform lead to the first one.
  const std::set<std::string> linked = LinkedDataCentres();
  for (const RegionLayout& region : mSpreader.Current().mRegions) {
    for (const std::string& dataCentre : region.mDataCentres) {
      const auto* const known =
        mSpreader.Store().Find<RelayFact>("relay/" + dataCentre);
      if (linked.contains(dataCentre) || known != nullptr) {
        continue;
      }
      mClient.ReadLease(LeaseName(dataCentre),
                        [this](const Expected<LeaseState>& aLease) {
                          if (aLease && IsRelay()) {
                            mLinks.Probe(aLease->mValue);
                          }
                        });
    }
  }
}

void
RelayAgent::SearchDirectory()
{
  // Before the first document nothing names the data centres but the rows of
  // their nodes. A link to any of them brings the facts of the relays.
  mClient.ScanRows(
    "nodes/", [this](const Expected<std::vector<TableRow>>& aRows) {
      if (!aRows) {
        return;
      }
      std::set<std::string> known = LinkedDataCentres();
      for (const TableRow& row : *aRows) {
        const std::string place = row.mKey.substr(0, row.mKey.rfind('/'));
        const std::string dataCentre = place.substr(place.rfind('/') + 1);
        const auto peer = row.mValue.find("peer");
        if (peer != row.mValue.end() && peer->is_string() &&
            known.insert(dataCentre).second) {
          mLinks.Probe(peer->get<std::string>());
        }
      }
    });
}

void
RelayAgent::TidyDirectory()
{
  mDirectoryTimer.StartOnce(mContext.Jittered(kDirectoryPeriod));
  if (mElection.Role() != RelayRole::Relay) {
    return;
  }
  mClient.ScanRows("nodes/" + mContext.mSettings.mDataCentre + "/",
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
    const MemberFact* const member = mSpreader.Store().Member(node);
    if (member == nullptr) {
      // A node that the mesh does not know may be on the other side of a
      // split that both sides can't see.
      const auto peer = row.mValue.find("peer");
      if (peer != row.mValue.end() && peer->is_string()) {
        mLinks.Probe(peer->get<std::string>());
      }
    } else if (member->mState >= MemberState::Left &&
               removal.mDeletes.size() < kMaxRemovals) {
      removal.mConditions.push_back({ row.mKey, row.mVersion });
      removal.mDeletes.push_back(row.mKey);
    }
  }
  if (!removal.mDeletes.empty()) {
    mClient.Commit(removal, [](const auto&) {});
  }
}

} // namespace papayaway
