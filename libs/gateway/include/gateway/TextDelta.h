#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <base/Error.h>

namespace papayaway::gateway {

/** A part of a new text: a range of the old one, or new bytes. */
struct DeltaPart
{
  std::uint64_t mFrom = 0;
  /** 0 for new bytes. */
  std::uint64_t mLength = 0;
  std::string mBytes;

  bool operator==(const DeltaPart&) const = default;
};

/** How a text comes from an earlier version of it. */
struct TextDelta
{
  std::vector<DeltaPart> mParts;
  /** Of the new text, so that a wrong base is noticed. */
  std::uint64_t mHash = 0;

  bool operator==(const TextDelta&) const = default;
};

/**
 * Finds what of aNew stands in aOld already.
 *
 * Both texts are cut at closing braces, which in a desired state end a rule or
 * a service; equal pieces are referred to, whatever their order. A state of
 * 800 rules in which one changes gives a few hundred bytes.
 */
TextDelta MakeDelta(std::string_view aOld, std::string_view aNew);

/** @return the new text, or an error if aOld is not the base of the delta. */
Expected<std::string> ApplyDelta(std::string_view aOld,
                                 const TextDelta& aDelta);

} // namespace papayaway::gateway
