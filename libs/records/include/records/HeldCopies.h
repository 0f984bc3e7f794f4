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

/** Copies of other nodes' records that are not stored yet. */
class HeldCopies
{
public:
  /** A copy is dropped after this time: the origin stored it and its notice
   *  was lost, or the store was away for longer than is planned for. */
  static constexpr Millis kLifetime = Seconds(7200);

  explicit HeldCopies(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /** Keeps a copy, or drops what a notice says is stored. If the memory is
   *  full the oldest copies give way. */
  void OnCopy(const RecordCopy& aCopy, Millis aNow);

  /** @return the records of aOrigin to put on its behalf, once it is dead;
   *    adjacent ranges are joined. They are kept until OnStored(). */
  [[nodiscard]] std::vector<RecordObject> Orphans(
    const std::string& aOrigin) const;

  /** Tells that an object of Orphans() is stored. */
  void OnStored(const std::string& aName);

  /** Drops expired copies. */
  void OnTick(Millis aNow);

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  /** @return copies dropped for lack of memory or by age. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  /** Origin, incarnation, customer and first sequence. */
  using Key =
    std::tuple<std::string, std::uint64_t, std::string, std::uint64_t>;

  struct Held
  {
    std::uint64_t mLast = 0;
    std::string mLines;
    Millis mReceivedAt;
  };

  using Copies = std::map<Key, Held>;

  static std::size_t BytesOf(const Held& aHeld);
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
