#include <gateway/TextDelta.h>

#include <unordered_map>

#include <xxhash.h>

namespace papayaway::gateway {

namespace {

/** Calls aVisit with the offset and the text of each chunk. A chunk ends after
 *  a closing brace or at the end of the text. */
template<typename Visit>
void
ForEachChunk(std::string_view aText, Visit aVisit)
{
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t brace = aText.find('}', begin);
    const std::size_t end =
      brace == std::string_view::npos ? aText.size() : brace + 1;
    aVisit(begin, aText.substr(begin, end - begin));
    begin = end;
  }
}

} // namespace

TextDelta
MakeDelta(std::string_view aOld, std::string_view aNew)
{
  std::unordered_map<std::string_view, std::size_t> oldOffsets;
  ForEachChunk(aOld, [&](std::size_t aOffset, std::string_view aChunk) {
    oldOffsets.emplace(aChunk, aOffset);
  });
  TextDelta delta;
  delta.mHash = XXH3_64bits(aNew.data(), aNew.size());
  ForEachChunk(aNew, [&](std::size_t, std::string_view aChunk) {
    DeltaPart* const previous =
      delta.mParts.empty() ? nullptr : &delta.mParts.back();
    const std::size_t previousEnd =
      previous == nullptr || previous->mLength == 0
        ? std::string_view::npos
        : static_cast<std::size_t>(previous->mOffset + previous->mLength);
    // A chunk that follows the previous range in the old text extends it.
    if (previousEnd < aOld.size() &&
        aOld.substr(previousEnd).starts_with(aChunk)) {
      previous->mLength += aChunk.size();
      return;
    }
    const auto oldOffset = oldOffsets.find(aChunk);
    if (oldOffset != oldOffsets.end()) {
      delta.mParts.push_back(
        { .mOffset = oldOffset->second, .mLength = aChunk.size() });
    } else if (previous != nullptr && previous->mLength == 0) {
      previous->mBytes += aChunk;
    } else {
      delta.mParts.push_back({ .mBytes = std::string(aChunk) });
    }
  });
  return delta;
}

Expected<std::string>
ApplyDelta(std::string_view aOld, const TextDelta& aDelta)
{
  std::string text;
  for (const DeltaPart& part : aDelta.mParts) {
    if (part.mLength == 0) {
      text += part.mBytes;
      continue;
    }
    if (part.mOffset > aOld.size() ||
        part.mLength > aOld.size() - part.mOffset) {
      return Fail(ErrorCode::Invalid,
                  "the delta refers to bytes beyond the end of the old text");
    }
    text += aOld.substr(part.mOffset, part.mLength);
  }
  if (XXH3_64bits(text.data(), text.size()) != aDelta.mHash) {
    return Fail(ErrorCode::Invalid,
                "the delta was made from another text: the result has a "
                "different hash");
  }
  return text;
}

} // namespace papayaway::gateway
