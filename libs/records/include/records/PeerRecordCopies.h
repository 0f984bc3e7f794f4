#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <base/Millis.h>
#include <records/RecordBuffer.h>
#include <wire/Messages.h>

namespace papayaway {

/** Copies of other nodes' request records that are not in the object store
 *  yet. If the other node dies, this node stores them on its behalf. */
class PeerRecordCopies
{
public:
  /** A copy is dropped after this time. By then either the origin has stored
   *  the records and its notice was lost, or the object store has been
   *  unavailable for longer than the outages that the system must survive. */
  static constexpr Millis kLifetime = Seconds(7200);

  explicit PeerRecordCopies(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /** Adds a copy, or drops the copies of records that aCopy reports as stored.
   *  If the memory limit is reached, the oldest copies are dropped. */
  void OnCopy(const RecordCopy& aCopy, Millis aNow);

  /** @return the records of aOrigin, a node that is dead, as objects to store
   *    on its behalf; adjacent ranges are joined. The copies are kept until
   *    OnStored(). */
  [[nodiscard]] std::vector<RecordObject> UnstoredRecords(
    const std::string& aOrigin) const;

  /** Drops the copies of an object of UnstoredRecords() that has been stored.
   */
  void OnStored(const std::string& aName);

  /** Drops expired copies. */
  void OnTick(Millis aNow);

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  /** @return the number of copies dropped for lack of memory or by age. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  /** Origin, incarnation, customer and first sequence. */
  using Key =
    std::tuple<std::string, std::uint64_t, std::string, std::uint64_t>;

  struct Entry
  {
    std::uint64_t mLast = 0;
    std::string mLines;
    Millis mReceivedAt;
  };

  using Copies = std::map<Key, Entry>;

  static std::size_t BytesOf(const Entry& aEntry);
  Copies::iterator Erase(Copies::iterator aCopy);
  void EraseRange(const std::string& aOrigin,
                  std::uint64_t aIncarnation,
                  const std::string& aCustomer,
                  std::uint64_t aFirst,
                  std::uint64_t aLast);

  std::size_t mMaxBytes;
  Copies mCopies;
  std::size_t mBytes = 0;
  std::uint64_t mDropped = 0;
};

} // namespace papayaway
