#pragma once

#include <map>
#include <string>
#include <vector>

#include <platform/PlatformClient.h>
#include <records/HeldCopies.h>
#include <records/RecordBuffer.h>
#include <wire/Messages.h>

#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** @return the node that keeps the copies of a node's records: aCurrent while
 *    it is linked, or else the first linked node of the own data centre, or
 *    else of the own region; empty if there is none. */
std::string ChooseCopyHolder(const std::vector<LinkInfo>& aLinks,
                             const std::string& aDataCentre,
                             const std::string& aRegion,
                             const std::string& aCurrent);

/** Records the requests of customers, stores the records in the object store
 *  and keeps copies of other nodes' records until they are stored. */
class RecordAgent
{
public:
  RecordAgent(NodeContext& aContext,
              PeerLinks& aLinks,
              PlatformClient& aPlatform);

  void Start();

  /** Records an answered call, if it has a customer. */
  void OnAnswered(const Call& aCall,
                  const std::string& aCustomer,
                  int aStatus,
                  Outcome aOutcome);

  void OnCopy(const RecordCopy& aCopy);
  void OnFact(const Fact& aFact);

  /** Stores what is left. No call may be answered afterwards. */
  void Finish();

  /** Sends the last copies, so that the neighbour stores what this node could
   *  not. */
  void SendCopies();

  /** @return whether all own records are stored. */
  [[nodiscard]] bool IsStored() const { return mBuffer.IsEmpty(); }

private:
  /** Records of a dead node that are being stored on its behalf. */
  struct Orphan
  {
    std::string mContent;
    bool mPutting = false;
    Millis mDueAt;
  };

  void Tick();
  void StoreDue();
  void StoreOrphans();
  /** Takes the copies of incarnations below aBelow. */
  void TakeOrphans(const std::string& aOrigin, std::uint64_t aBelow);
  void UpdateMetrics();

  NodeContext& mContext;
  PeerLinks& mLinks;
  PlatformClient& mPlatform;
  RecordBuffer mBuffer;
  HeldCopies mHeld;
  std::map<std::string, Orphan> mOrphans;
  std::string mHolder;
  bool mFinished = false;
  std::uint64_t mReportedDrops = 0;
  prometheus::Gauge& mUnstoredBytes;
  prometheus::Gauge& mHeldBytes;
  prometheus::Gauge& mDroppedRecords;
  prometheus::Gauge& mDroppedCopies;
  prometheus::Gauge& mUntracked;
  prometheus::Counter& mStoredObjects;
  prometheus::Counter& mFailedPuts;
  Timer mTick;
};

} // namespace papayaway
