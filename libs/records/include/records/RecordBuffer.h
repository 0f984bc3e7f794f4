#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <records/RecordNames.h>
#include <records/RequestRecord.h>
#include <wire/Messages.h>

namespace papayaway {

/** An object to put into the object store. */
struct RecordObject
{
  std::string mName;
  std::string mContent;

  bool operator==(const RecordObject&) const = default;
};

struct RecordBufferOptions
{
  /** The limit on the bytes of records that are not stored yet. */
  std::size_t mMaxBytes = std::size_t{ 4 } << 20;
  /** A batch is closed at this size or age. */
  std::size_t mBatchBytes = std::size_t{ 64 } << 10;
  Millis mBatchAge = Seconds(2);
  /** The number of customers whose requests are recorded. The requests of
   *  further customers are only counted, see RecordBuffer::UntrackedRequests().
   */
  std::size_t mMaxCustomers = 10'000;
  /** The limit on concurrent puts to the object store. */
  std::size_t mMaxPutsInFlight = 8;
};

/**
 * Buffers the request records of one incarnation of a node until they are in
 * the object store.
 *
 * If the memory limit is reached, the oldest batch is dropped, and its range is
 * stored as a gap. The caller stores the objects from TakeDue() and reports the
 * result of each by its name, and sends the copies from TakeCopies() to a
 * neighbour.
 */
class RecordBuffer
{
public:
  RecordBuffer(std::string aNode,
               std::uint64_t aIncarnation,
               RecordBufferOptions aOptions = {});

  /** Adds a record with the next sequence of aCustomer. */
  void Append(const std::string& aCustomer, RequestRecord aRecord, Millis aNow);

  /** Closes batches that have reached the maximum age.
   *  @return the objects to store now. For each, the caller must call
   *    OnStored() or OnStoreFailed(). */
  [[nodiscard]] std::vector<RecordObject> TakeDue(Millis aNow);

  void OnStored(const std::string& aName);

  /** Makes the object due again after an exponential back-off with jitter. */
  void OnStoreFailed(const std::string& aName, Millis aNow, Random& aRandom);

  /** @return copies of the records added, and notices of the ranges stored,
   *    since the last call. If some of them were discarded because there were
   *    too many, the result holds all records that are not stored. */
  [[nodiscard]] std::vector<RecordCopy> TakeCopies();

  /** @return copies of all records that are not stored, for a new
   *    neighbour. */
  [[nodiscard]] std::vector<RecordCopy> AllCopies() const;

  /** Closes all batches and adds a final marker per customer, which is stored
   *  after the records. Append() must not be called afterwards. */
  void Finish();

  /** @return whether everything is stored. */
  [[nodiscard]] bool IsEmpty() const;

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  [[nodiscard]] std::uint64_t DroppedRecords() const { return mDropped; }
  /** @return the number of requests that were not recorded because there were
   *    too many customers. */
  [[nodiscard]] std::uint64_t UntrackedRequests() const
  {
    return mUntrackedRequests;
  }

private:
  struct Batch
  {
    RecordObjectName mName;
    std::string mLines;
    bool mPutInFlight = false;
    int mFailures = 0;
    Millis mDueAt;
  };

  struct OpenBatch
  {
    std::uint64_t mFirst = 0;
    std::uint64_t mLast = 0;
    std::string mLines;
    Millis mOpenedAt;
    /** The bytes of mLines that QueueCopy() has copied. */
    std::size_t mCopiedBytes = 0;
    /** The last sequence that QueueCopy() has copied. */
    std::uint64_t mCopiedLast = 0;
  };

  /** By id. Ids increase, so the oldest batch is first. */
  using Batches = std::map<std::uint64_t, Batch>;

  [[nodiscard]] RecordObjectName ObjectName(const std::string& aCustomer,
                                            RecordObjectKind aKind,
                                            std::uint64_t aFirst,
                                            std::uint64_t aLast) const;
  [[nodiscard]] RecordCopy MakeCopy(const RecordObjectName& aName,
                                    std::string aLines) const;
  std::uint64_t AddBatch(Batch aBatch);
  void AddCopy(RecordCopy aCopy);
  void CloseBatch(const std::string& aCustomer);
  void QueueCopy(const std::string& aCustomer, OpenBatch& aOpen);
  [[nodiscard]] bool DropOldest();
  /** Records that a range of aCustomer was dropped. If another dropped range of
   *  the customer is not being put yet, extends it to cover both. It may then
   *  include records that are stored; an export prefers those. */
  void AddGap(const std::string& aCustomer,
              std::uint64_t aFirst,
              std::uint64_t aLast);
  /** @return the batch that is being put as the object aName, or the end. */
  Batches::iterator FindPutInFlight(const std::string& aName);

  std::string mNode;
  std::uint64_t mIncarnation;
  RecordBufferOptions mOptions;
  /** By customer, the last sequence. */
  std::unordered_map<std::string, std::uint64_t> mSequences;
  std::map<std::string, OpenBatch> mOpen;
  std::uint64_t mNextBatchId = 0;
  Batches mBatches;
  /** By customer, the id of the batch of kind Dropped that is not being put. */
  std::unordered_map<std::string, std::uint64_t> mPendingGaps;
  std::vector<RecordCopy> mCopies;
  std::size_t mCopyBytes = 0;
  bool mCopiesDiscarded = false;
  std::size_t mBytes = 0;
  std::size_t mPutsInFlight = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mUntrackedRequests = 0;
};

} // namespace papayaway
