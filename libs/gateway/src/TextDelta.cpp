#include <gateway/TextDelta.h>

#include <unordered_map>

#include <xxhash.h>

namespace papayaway::gateway {

namespace {

/** Calls aVisit with each piece of the text, which ends with a brace. */
template<typename Visit>
void
ForEachPiece(std::string_view aText, Visit aVisit)
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
  std::unordered_map<std::string_view, std::size_t> places;
  ForEachPiece(aOld, [&](std::size_t aBegin, std::string_view aPiece) {
    places.emplace(aPiece, aBegin);
  });
  TextDelta delta;
  delta.mHash = XXH3_64bits(aNew.data(), aNew.size());
  ForEachPiece(aNew, [&](std::size_t, std::string_view aPiece) {
    DeltaPart* const last =
      delta.mParts.empty() ? nullptr : &delta.mParts.back();
    const std::size_t next =
      last == nullptr || last->mLength == 0
        ? std::string_view::npos
        : static_cast<std::size_t>(last->mFrom + last->mLength);
    // A piece that follows the last one in the old text extends its range.
    if (next < aOld.size() && aOld.substr(next).starts_with(aPiece)) {
      last->mLength += aPiece.size();
      return;
    }
    const auto place = places.find(aPiece);
    if (place != places.end()) {
      delta.mParts.push_back(
        { .mFrom = place->second, .mLength = aPiece.size() });
    } else if (last != nullptr && last->mLength == 0) {
      last->mBytes += aPiece;
    } else {
      delta.mParts.push_back({ .mBytes = std::string(aPiece) });
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
    if (part.mFrom > aOld.size() || part.mLength > aOld.size() - part.mFrom) {
      return Fail(ErrorCode::Invalid, "the delta has another base");
    }
    text += aOld.substr(part.mFrom, part.mLength);
  }
  if (XXH3_64bits(text.data(), text.size()) != aDelta.mHash) {
    return Fail(ErrorCode::Invalid, "the delta has another base");
  }
  return text;
}

} // namespace papayaway::gateway
