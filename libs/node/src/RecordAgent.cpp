#include "RecordAgent.h"

#include <algorithm>
#include <utility>

namespace papayaway {

namespace {

/** The interval at which copies are sent. Records that are newer than the last
 *  copy are lost if the node dies. */
constexpr Millis kTickPeriod{ 200 };
constexpr Millis kUnstoredPeerRecordRetry = Seconds(5);
/** Bounds the copies held for other nodes. Enough for one neighbour with a full
 *  buffer. */
constexpr std::size_t kMaxHeldBytes = std::size_t{ 4 } << 20;
/** A node's incarnation is its start time in milliseconds, raised by one each
 *  time the node refutes a suspicion. A difference above this limit means that
 *  the node was restarted. */
constexpr std::uint64_t kMaxRefutations = 100;

std::string
FirstNodeIf(const std::vector<LinkInfo>& aLinks, auto aAccepts)
{
  // Chosen by name because the order of the links is not stable.
  std::string first;
  for (const LinkInfo& link : aLinks) {
    if (aAccepts(link) && (first.empty() || link.mNode < first)) {
      first = link.mNode;
    }
  }
  return first;
}

} // namespace

std::string
ChooseCopyHolder(const std::vector<LinkInfo>& aLinks,
                 const std::string& aDataCentre,
                 const std::string& aRegion,
                 const std::string& aCurrent)
{
  for (const LinkInfo& link : aLinks) {
    if (link.mNode == aCurrent) {
      return aCurrent;
    }
  }
  const std::string inDataCentre =
    FirstNodeIf(aLinks, [&](const LinkInfo& aLink) {
      return aLink.mDataCentre == aDataCentre;
    });
  return !inDataCentre.empty()
           ? inDataCentre
           : FirstNodeIf(aLinks, [&](const LinkInfo& aLink) {
               return aLink.mRegion == aRegion;
             });
}

RecordAgent::RecordAgent(NodeContext& aContext,
                         PeerLinks& aLinks,
                         PlatformClient& aPlatform)
  : mContext(aContext)
  , mLinks(aLinks)
  , mPlatform(aPlatform)
  , mBuffer(aContext.mSettings.mName, aContext.mIncarnation)
  , mPeerRecordCopies(kMaxHeldBytes)
  , mUnstoredBytes(aContext.mMetrics.Gauge("papayaway_unstored_record_bytes",
                                           "Bytes of records not stored yet"))
  , mHeldBytes(aContext.mMetrics.Gauge("papayaway_held_record_bytes",
                                       "Bytes of copies for other nodes"))
  , mDroppedRecords(
      aContext.mMetrics.Gauge("papayaway_dropped_records",
                              "Records dropped since the start because the "
                              "memory for them was full"))
  , mDroppedCopies(
      aContext.mMetrics.Gauge("papayaway_dropped_record_copies",
                              "Copies dropped since the start by memory or "
                              "age"))
  , mUntrackedRequests(
      aContext.mMetrics.Gauge("papayaway_untracked_requests",
                              "Requests since the start without a "
                              "record for too many customers"))
  , mStoredObjects(aContext.mMetrics.Counter("papayaway_stored_records_total",
                                             "Record objects stored"))
  , mFailedPuts(aContext.mMetrics.Counter("papayaway_failed_record_puts_total",
                                          "Record objects not stored"))
  , mTickTimer(aContext.mLoop, [this] { Tick(); })
{
}

void
RecordAgent::Start()
{
  mTickTimer.StartOnce(mContext.Jittered(kTickPeriod));
}

void
RecordAgent::OnAnswered(const Call& aCall,
                        const std::string& aCustomer,
                        int aStatus,
                        Outcome aOutcome)
{
  if (aCustomer.empty() || mFinished) {
    return;
  }
  mBuffer.Append(aCustomer,
                 { .mWallTime = WallNow(),
                   .mMethod = aCall.mMethod,
                   .mRoute = aCall.mRoute,
                   .mStatus = aStatus,
                   .mOutcome = aOutcome },
                 SteadyNow());
}

void
RecordAgent::Tick()
{
  mTickTimer.StartOnce(mContext.Jittered(kTickPeriod));
  mPeerRecordCopies.OnTick(SteadyNow());
  SendCopies();
  StoreDue();
  StoreUnstoredPeerRecords();
  UpdateMetrics();
}

void
RecordAgent::SendCopies()
{
  const std::string holder = ChooseCopyHolder(mLinks.MeshLinks(),
                                              mContext.mSettings.mDataCentre,
                                              mContext.mSettings.mRegion,
                                              mCopyHolder);
  if (holder.empty()) {
    mCopyHolder.clear();
    return;
  }
  std::vector<RecordCopy> copies = mBuffer.TakeCopies();
  if (holder != mCopyHolder) {
    copies = mBuffer.AllCopies();
    mCopyHolder = holder;
  }
  for (const RecordCopy& copy : copies) {
    mLinks.SendToMesh(holder, copy);
  }
}

void
RecordAgent::StoreDue()
{
  for (RecordObject& object : mBuffer.TakeDue(SteadyNow())) {
    const std::string name = object.mName;
    mPlatform.PutObject(
      name,
      std::move(object.mContent),
      [this, name](const Expected<PlatformClient::Empty>& aResult) {
        if (aResult) {
          mStoredObjects.Increment();
          mBuffer.OnStored(name);
        } else {
          mFailedPuts.Increment();
          mBuffer.OnStoreFailed(name, SteadyNow(), mContext.mRandom);
        }
        if (mFinished) {
          StoreDue();
        }
      });
  }
}

void
RecordAgent::OnCopy(const RecordCopy& aCopy)
{
  mPeerRecordCopies.OnCopy(aCopy, SteadyNow());
}

void
RecordAgent::OnFact(const Fact& aFact)
{
  const auto* const member = std::get_if<MemberFact>(&aFact);
  if (member == nullptr || member->mNode == mContext.mSettings.mName) {
    return;
  }
  switch (member->mState) {
    case MemberState::Dead:
    case MemberState::Left:
      TakeUnstoredPeerRecords(member->mNode, UINT64_MAX);
      break;
    case MemberState::Alive:
      // The node may have been restarted before its failure was detected.
      TakeUnstoredPeerRecords(
        member->mNode,
        member->mIncarnation - std::min(member->mIncarnation, kMaxRefutations));
      break;
    case MemberState::Suspect:
      break;
  }
}

void
RecordAgent::TakeUnstoredPeerRecords(const std::string& aOrigin,
                                     std::uint64_t aBelow)
{
  for (RecordObject& object : mPeerRecordCopies.UnstoredRecords(aOrigin)) {
    const auto name = ParseRecordObjectName(object.mName);
    if (name && name->mIncarnation < aBelow) {
      mUnstoredPeerRecords[object.mName].mContent = std::move(object.mContent);
    }
  }
}

void
RecordAgent::StoreUnstoredPeerRecords()
{
  const Millis now = SteadyNow();
  for (auto& [name, peerRecord] : mUnstoredPeerRecords) {
    if (peerRecord.mPutPending || peerRecord.mDueAt > now) {
      continue;
    }
    peerRecord.mPutPending = true;
    mPlatform.PutObject(
      name,
      peerRecord.mContent,
      [this, name = name](const Expected<PlatformClient::Empty>& aResult) {
        if (aResult) {
          mStoredObjects.Increment();
          mPeerRecordCopies.OnStored(name);
          mUnstoredPeerRecords.erase(name);
          return;
        }
        mFailedPuts.Increment();
        UnstoredPeerRecord& failed = mUnstoredPeerRecords[name];
        failed.mPutPending = false;
        failed.mDueAt =
          SteadyNow() + mContext.Jittered(kUnstoredPeerRecordRetry);
      });
  }
}

void
RecordAgent::Finish()
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mBuffer.Finish();
  StoreDue();
}

void
RecordAgent::UpdateMetrics()
{
  mUnstoredBytes.Set(static_cast<double>(mBuffer.Bytes()));
  mHeldBytes.Set(static_cast<double>(mPeerRecordCopies.Bytes()));
  mDroppedRecords.Set(static_cast<double>(mBuffer.DroppedRecords()));
  mDroppedCopies.Set(static_cast<double>(mPeerRecordCopies.Dropped()));
  mUntrackedRequests.Set(static_cast<double>(mBuffer.UntrackedRequests()));
  if (mBuffer.DroppedRecords() != mReportedDrops) {
    mContext.Record(
      { .mPart = "records",
        .mKind = EventKind::RecordsDropped,
        .mText = std::to_string(mBuffer.DroppedRecords() - mReportedDrops) +
                 " records were dropped because the memory for them is full" });
    mReportedDrops = mBuffer.DroppedRecords();
  }
}

} // namespace papayaway
