#pragma once

#include <map>
#include <string>
#include <vector>

#include <platform/PlatformClient.h>
#include <records/PeerRecordCopies.h>
#include <records/RecordBuffer.h>
#include <wire/Messages.h>

#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** @return the node that keeps the copies of this node's records: aCurrent
 *    while it is linked, else the first linked node by name in this data
 *    centre, else in this region; empty if there is none.
 *  @param aLinks the mesh links of this node.
 *  @param aDataCentre the data centre of this node.
 *  @param aRegion the region of this node. */
std::string ChooseCopyHolder(const std::vector<LinkInfo>& aLinks,
                             const std::string& aDataCentre,
                             const std::string& aRegion,
                             const std::string& aCurrent);

/** Records the requests of customers and stores the records in the object
 *  store. Keeps copies of other nodes' records until they are stored, and
 *  stores them if those nodes fail. */
class RecordAgent
{
public:
  RecordAgent(NodeContext& aContext,
              PeerLinks& aLinks,
              PlatformClient& aPlatform);

  void Start();

  /** Records an answered call if aCustomer is not empty. */
  void OnAnswered(const Call& aCall,
                  const std::string& aCustomer,
                  int aStatus,
                  Outcome aOutcome);

  void OnCopy(const RecordCopy& aCopy);
  void OnFact(const Fact& aFact);

  /** Starts to store all remaining records. Calls answered later are not
   *  recorded. */
  void Finish();

  /** Sends copies of new records to the copy holder, which stores them if this
   *  node can't. */
  void SendCopies();

  /** @return whether all records of this node are stored. */
  [[nodiscard]] bool IsStored() const { return mBuffer.IsEmpty(); }

private:
  /** A record object of a node that has ended, which this node stores in its
   *  place. */
  struct UnstoredPeerRecord
  {
    std::string mContent;
    bool mPutPending = false;
    Millis mDueAt;
  };

  void Tick();
  void StoreDue();
  void StoreUnstoredPeerRecords();
  /** Schedules the copies of aOrigin's records for storing, if their
   *  incarnation is below aBelow. */
  void TakeUnstoredPeerRecords(const std::string& aOrigin,
                               std::uint64_t aBelow);
  void UpdateMetrics();

  NodeContext& mContext;
  PeerLinks& mLinks;
  PlatformClient& mPlatform;
  RecordBuffer mBuffer;
  PeerRecordCopies mPeerRecordCopies;
  std::map<std::string, UnstoredPeerRecord> mUnstoredPeerRecords;
  std::string mCopyHolder;
  bool mFinished = false;
  std::uint64_t mReportedDrops = 0;
  prometheus::Gauge& mUnstoredBytes;
  prometheus::Gauge& mHeldBytes;
  prometheus::Gauge& mDroppedRecords;
  prometheus::Gauge& mDroppedCopies;
  prometheus::Gauge& mUntrackedRequests;
  prometheus::Counter& mStoredObjects;
  prometheus::Counter& mFailedPuts;
  Timer mTickTimer;
};

} // namespace papayaway
