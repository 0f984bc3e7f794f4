#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace papayaway::gateway {

/**
 * A version of the platform's store, or of one of its rows.
 *
 * When the store comes back from a copy, its era rises by one, what was written
 * after the copy was made is gone, and the version numbers since then are given
 * out again. Versions are therefore ordered by era first. A row that the copy
 * contains has the same number in both eras, but a number that was given out
 * again belongs to another change.
 */
class StoreVersion
{
public:
  /** The version of a row that does not exist. */
  constexpr StoreVersion() = default;

  /** A version of a store that reports no era. */
  // Implicit, because such a store has version numbers only.
  constexpr StoreVersion(std::uint64_t aNumber)
    : mNumber(aNumber)
  {
  }

  /** @param aEra the era that the store reported with the number. */
  constexpr StoreVersion(std::uint64_t aEra, std::uint64_t aNumber)
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  [[nodiscard]] constexpr std::uint64_t Era() const { return mEra; }
  [[nodiscard]] constexpr std::uint64_t Number() const { return mNumber; }

  /** @return whether this is the version of a row that exists. */
  [[nodiscard]] constexpr bool Exists() const { return mNumber != 0; }

  /** @return "ERA/NUMBER", for logs. */
  [[nodiscard]] std::string ToString() const
  {
    return std::to_string(mEra) + "/" + std::to_string(mNumber);
  }

  // clang-tidy 14 reports the 0 that the compiler puts into "(a <=> b) < 0".
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const StoreVersion&) const = default;

private:
  std::uint64_t mEra = 0;
  std::uint64_t mNumber = 0;
};

} // namespace papayaway::gateway
