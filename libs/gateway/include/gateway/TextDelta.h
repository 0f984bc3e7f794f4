#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>

namespace papayaway::gateway {

/** A part of the new text: either a range of the old text or new bytes. */
struct DeltaPart
{
  /** The start of the range in the old text, in bytes. */
  std::uint64_t mOffset = 0;
  /** The length of the range in bytes; 0 if the part consists of mBytes. */
  std::uint64_t mLength = 0;
  std::string mBytes;

  bool operator==(const DeltaPart&) const = default;
};

/** The difference between an old and a new version of a text. */
struct TextDelta
{
  std::vector<DeltaPart> mParts;
  /** The XXH3 hash of the new text. Applying the delta to a text other than the
   *  one that it was made from gives another hash. */
  std::uint64_t mHash = 0;

  bool operator==(const TextDelta&) const = default;
};

/**
 * Encodes aNew as a delta to aOld.
 *
 * Both texts are split into chunks after each closing brace, which in the JSON
 * text of a desired state ends a rule or a service. Chunks of aNew that aOld
 * contains, in any order, are encoded as ranges of aOld. For a desired state of
 * 800 rules of which one changes, the delta takes a few hundred bytes.
 */
TextDelta MakeDelta(std::string_view aOld, std::string_view aNew);

/** @return the new text, or an error if aOld is not the text that the delta was
 *    made from. */
Expected<std::string> ApplyDelta(std::string_view aOld,
                                 const TextDelta& aDelta);

} // namespace papayaway::gateway
