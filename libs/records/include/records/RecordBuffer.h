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
  /** The bytes of records that are not stored yet. */
  std::size_t mMaxBytes = std::size_t{ 4 } << 20;
  /** A batch is closed at this size or age. */
  std::size_t mBatchBytes = std::size_t{ 64 } << 10;
  Millis mBatchAge = Seconds(2);
  /** Customers whose sequence is kept; the requests of others are counted in
   *  RecordBuffer::Untracked() only. */
  std::size_t mMaxCustomers = 10'000;
  /** Objects that are being put at a time. */
  std::size_t mMaxPutsInFlight = 8;
};

/**
 * The request records of one incarnation of a node until they are stored.
 *
 * If the memory is full, the oldest batch is dropped, and its range is stored
 * as a named gap. The caller puts what TakeDue() gives and reports each name
 * back; it sends what TakeCopies() gives to a neighbour.
 */
class RecordBuffer
{
public:
  RecordBuffer(std::string aNode,
               std::uint64_t aIncarnation,
               RecordBufferOptions aOptions = {});

  /** Adds a record and gives it the next sequence of aCustomer. */
  void Append(const std::string& aCustomer, RequestRecord aRecord, Millis aNow);

  /** Closes batches that are old enough.
   *  @return the objects to put now. Each needs OnStored() or
   *    OnStoreFailed(). */
  [[nodiscard]] std::vector<RecordObject> TakeDue(Millis aNow);

  void OnStored(const std::string& aName);

  /** The object is due again after a jittered back-off. */
  void OnStoreFailed(const std::string& aName, Millis aNow, Random& aRandom);

  /** @return the records added and the ranges stored since the last time; all
   *    that is not stored if it was not called for so long that some of it
   *    had to give way. */
  [[nodiscard]] std::vector<RecordCopy> TakeCopies();

  /** @return all records that are not stored, for a new neighbour. */
  [[nodiscard]] std::vector<RecordCopy> AllCopies() const;

  /** Closes all batches and adds a final marker per customer, stored after
   *  the records. Append() must not be called any more. */
  void Finish();

  /** @return whether everything is stored. */
  [[nodiscard]] bool IsEmpty() const;

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  [[nodiscard]] std::uint64_t DroppedRecords() const { return mDropped; }
  [[nodiscard]] std::uint64_t Untracked() const { return mUntracked; }

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
    /** How much TakeCopies() gave already. */
    std::size_t mCopiedBytes = 0;
    std::uint64_t mCopiedLast = 0;
  };

  /** By the count of closed batches, which is their age. */
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
  /** A customer has at most one range of this kind waiting, which is widened:
   *  an export gives records that are stored precedence over it. */
  void AddGap(const std::string& aCustomer,
              std::uint64_t aFirst,
              std::uint64_t aLast);
  Batches::iterator FindPutInFlight(const std::string& aName);

  std::string mNode;
  std::uint64_t mIncarnation;
  RecordBufferOptions mOptions;
  /** The last sequence by customer. */
  std::unordered_map<std::string, std::uint64_t> mSequences;
  std::map<std::string, OpenBatch> mOpen;
  std::uint64_t mNextBatchId = 0;
  Batches mBatches;
  /** The batch of a customer's dropped range that is not being put. */
  std::unordered_map<std::string, std::uint64_t> mPendingGaps;
  std::vector<RecordCopy> mCopies;
  std::size_t mCopyBytes = 0;
  bool mCopiesDiscarded = false;
  std::size_t mBytes = 0;
  std::size_t mPutsInFlight = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mUntracked = 0;
};

} // namespace papayaway
