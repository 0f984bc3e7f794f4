#include <records/RecordBuffer.h>

#include <algorithm>
#include <utility>

namespace papayaway {

namespace {

constexpr Millis kMinBackoff{ 500 };
constexpr Millis kMaxBackoff = Seconds(30);
/** The limit on the size of queued copies, which accumulate while there is no
 *  neighbour to send them to. When it is exceeded, the queue is discarded, and
 *  the next TakeCopies() copies the batches instead. */
constexpr std::size_t kMaxCopyBytes = std::size_t{ 256 } << 10;

} // namespace

RecordBuffer::RecordBuffer(std::string aNode,
                           std::uint64_t aIncarnation,
                           RecordBufferOptions aOptions)
  : mNode(std::move(aNode))
  , mIncarnation(aIncarnation)
  , mOptions(aOptions)
{
}

void
RecordBuffer::Append(const std::string& aCustomer,
                     RequestRecord aRecord,
                     Millis aNow)
{
  auto known = mSequences.find(aCustomer);
  if (known == mSequences.end()) {
    if (mSequences.size() >= mOptions.mMaxCustomers) {
      ++mUntrackedRequests;
      return;
    }
    known = mSequences.emplace(aCustomer, 0).first;
  }
  aRecord.mSequence = ++known->second;
  const std::string line = ToLine(aRecord);
  while (mBytes + line.size() > mOptions.mMaxBytes) {
    if (!DropOldest()) {
      CloseBatch(aCustomer);
      ++mDropped;
      AddGap(aCustomer, aRecord.mSequence, aRecord.mSequence);
      return;
    }
  }
  OpenBatch& open = mOpen[aCustomer];
  if (open.mLines.empty()) {
    open.mFirst = aRecord.mSequence;
    open.mCopiedLast = aRecord.mSequence - 1;
    open.mOpenedAt = aNow;
  }
  open.mLast = aRecord.mSequence;
  open.mLines += line;
  mBytes += line.size();
  if (open.mLines.size() >= mOptions.mBatchBytes) {
    CloseBatch(aCustomer);
  }
}

std::vector<RecordObject>
RecordBuffer::TakeDue(Millis aNow)
{
  std::vector<std::string> expired;
  for (const auto& [customer, open] : mOpen) {
    if (aNow - open.mOpenedAt >= mOptions.mBatchAge) {
      expired.push_back(customer);
    }
  }
  for (const std::string& customer : expired) {
    CloseBatch(customer);
  }
  std::vector<RecordObject> due;
  bool recordsLeft = false;
  for (auto& [id, batch] : mBatches) {
    const bool isFinal = batch.mName.mKind == RecordObjectKind::Final;
    recordsLeft = recordsLeft || !isFinal;
    if (mPutsInFlight >= mOptions.mMaxPutsInFlight) {
      break;
    }
    // A final marker says that all records but those in gaps are stored, so
    // everything else must be stored first.
    if (batch.mPutInFlight || batch.mDueAt > aNow || (isFinal && recordsLeft)) {
      continue;
    }
    batch.mPutInFlight = true;
    ++mPutsInFlight;
    if (batch.mName.mKind == RecordObjectKind::Dropped) {
      mPendingGaps.erase(batch.mName.mCustomer);
    }
    due.push_back({ batch.mName.ToString(), batch.mLines });
  }
  return due;
}

void
RecordBuffer::OnStored(const std::string& aName)
{
  const auto found = FindPutInFlight(aName);
  if (found == mBatches.end()) {
    return;
  }
  Batch& batch = found->second;
  if (batch.mName.mKind == RecordObjectKind::Records) {
    RecordCopy notice = MakeCopy(batch.mName, "");
    notice.mStored = true;
    AddCopy(std::move(notice));
  }
  mBytes -= batch.mLines.size();
  --mPutsInFlight;
  mBatches.erase(found);
}

void
RecordBuffer::OnStoreFailed(const std::string& aName,
                            Millis aNow,
                            Random& aRandom)
{
  const auto found = FindPutInFlight(aName);
  if (found == mBatches.end()) {
    return;
  }
  Batch& batch = found->second;
  batch.mPutInFlight = false;
  --mPutsInFlight;
  const int doublings = std::min(batch.mFailures, 6);
  const Millis backoff = std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
  ++batch.mFailures;
  batch.mDueAt = aNow + backoff * (0.5 + UniformFraction(aRandom) / 2);
  const std::string& customer = batch.mName.mCustomer;
  if (batch.mName.mKind == RecordObjectKind::Dropped) {
    const auto [other, added] =
      mPendingGaps.try_emplace(customer, found->first);
    if (!added) {
      Batch& pendingGap = mBatches.at(other->second);
      pendingGap.mName.mFirst =
        std::min(pendingGap.mName.mFirst, batch.mName.mFirst);
      pendingGap.mName.mLast =
        std::max(pendingGap.mName.mLast, batch.mName.mLast);
      mBatches.erase(found);
    }
  }
}

std::vector<RecordCopy>
RecordBuffer::TakeCopies()
{
  for (auto& [customer, open] : mOpen) {
    QueueCopy(customer, open);
  }
  std::vector<RecordCopy> copies = std::exchange(mCopies, {});
  mCopyBytes = 0;
  if (std::exchange(mCopiesDiscarded, false)) {
    const std::vector<RecordCopy> all = AllCopies();
    copies.insert(copies.end(), all.begin(), all.end());
  }
  return copies;
}

std::vector<RecordCopy>
RecordBuffer::AllCopies() const
{
  std::vector<RecordCopy> copies;
  for (const auto& [id, batch] : mBatches) {
    if (batch.mName.mKind == RecordObjectKind::Records) {
      copies.push_back(MakeCopy(batch.mName, batch.mLines));
    }
  }
  for (const auto& [customer, open] : mOpen) {
    copies.push_back(MakeCopy(
      ObjectName(customer, RecordObjectKind::Records, open.mFirst, open.mLast),
      open.mLines));
  }
  return copies;
}

void
RecordBuffer::Finish()
{
  while (!mOpen.empty()) {
    CloseBatch(std::string(mOpen.begin()->first));
  }
  for (const auto& [customer, last] : mSequences) {
    AddBatch(
      { .mName = ObjectName(customer, RecordObjectKind::Final, last, last) });
  }
}

bool
RecordBuffer::IsEmpty() const
{
  return mOpen.empty() && mBatches.empty();
}

RecordObjectName
RecordBuffer::ObjectName(const std::string& aCustomer,
                         RecordObjectKind aKind,
                         std::uint64_t aFirst,
                         std::uint64_t aLast) const
{
  return { aCustomer, mNode, mIncarnation, aKind, aFirst, aLast };
}

RecordCopy
RecordBuffer::MakeCopy(const RecordObjectName& aName, std::string aLines) const
{
  return { .mOrigin = mNode,
           .mIncarnation = mIncarnation,
           .mFirst = aName.mFirst,
           .mLast = aName.mLast,
           .mCustomer = aName.mCustomer,
           .mLines = std::move(aLines) };
}

std::uint64_t
RecordBuffer::AddBatch(Batch aBatch)
{
  mBatches.emplace(mNextBatchId, std::move(aBatch));
  return mNextBatchId++;
}

void
RecordBuffer::AddCopy(RecordCopy aCopy)
{
  const std::size_t bytes = aCopy.mLines.size() + sizeof(RecordCopy);
  if (mCopyBytes + bytes > kMaxCopyBytes) {
    mCopiesDiscarded = true;
    mCopies.clear();
    mCopyBytes = 0;
  }
  mCopyBytes += bytes;
  mCopies.push_back(std::move(aCopy));
}

void
RecordBuffer::QueueCopy(const std::string& aCustomer, OpenBatch& aOpen)
{
  if (aOpen.mCopiedBytes == aOpen.mLines.size()) {
    return;
  }
  const RecordObjectName name = ObjectName(
    aCustomer, RecordObjectKind::Records, aOpen.mCopiedLast + 1, aOpen.mLast);
  AddCopy(MakeCopy(name, aOpen.mLines.substr(aOpen.mCopiedBytes)));
  aOpen.mCopiedBytes = aOpen.mLines.size();
  aOpen.mCopiedLast = aOpen.mLast;
}

void
RecordBuffer::CloseBatch(const std::string& aCustomer)
{
  const auto found = mOpen.find(aCustomer);
  if (found == mOpen.end()) {
    return;
  }
  OpenBatch& open = found->second;
  QueueCopy(aCustomer, open);
  AddBatch({ .mName = ObjectName(
               aCustomer, RecordObjectKind::Records, open.mFirst, open.mLast),
             .mLines = std::move(open.mLines) });
  mOpen.erase(found);
}

bool
RecordBuffer::DropOldest()
{
  const auto isDroppable = [](const auto& aEntry) {
    return aEntry.second.mName.mKind == RecordObjectKind::Records &&
           !aEntry.second.mPutInFlight;
  };
  auto oldest = std::find_if(mBatches.begin(), mBatches.end(), isDroppable);
  if (oldest == mBatches.end()) {
    const auto open = std::min_element(
      mOpen.begin(), mOpen.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mOpenedAt < aRight.second.mOpenedAt;
      });
    if (open == mOpen.end()) {
      return false;
    }
    CloseBatch(std::string(open->first));
    oldest = std::find_if(mBatches.begin(), mBatches.end(), isDroppable);
  }
  const RecordObjectName name = oldest->second.mName;
  mBytes -= oldest->second.mLines.size();
  mBatches.erase(oldest);
  mDropped += name.mLast - name.mFirst + 1;
  AddGap(name.mCustomer, name.mFirst, name.mLast);
  return true;
}

void
RecordBuffer::AddGap(const std::string& aCustomer,
                     std::uint64_t aFirst,
                     std::uint64_t aLast)
{
  const auto known = mPendingGaps.find(aCustomer);
  if (known != mPendingGaps.end()) {
    RecordObjectName& name = mBatches.at(known->second).mName;
    name.mFirst = std::min(name.mFirst, aFirst);
    name.mLast = std::max(name.mLast, aLast);
    return;
  }
  mPendingGaps[aCustomer] =
    AddBatch({ .mName = ObjectName(
                 aCustomer, RecordObjectKind::Dropped, aFirst, aLast) });
}

RecordBuffer::Batches::iterator
RecordBuffer::FindPutInFlight(const std::string& aName)
{
  return std::find_if(
    mBatches.begin(), mBatches.end(), [&](const auto& aEntry) {
      return aEntry.second.mPutInFlight &&
             aEntry.second.mName.ToString() == aName;
    });
}

} // namespace papayaway
