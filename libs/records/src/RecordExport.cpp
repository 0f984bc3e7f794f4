#include <records/RecordExport.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace papayaway {

namespace {

/** The contents of all objects of one customer and incarnation. */
struct IncarnationParts
{
  /** By sequence. */
  std::map<std::uint64_t, std::string_view> mLines;
  std::vector<SequenceRange> mDropped;
  std::optional<std::uint64_t> mFinal;
  /** The highest sequence in the name of any object. */
  std::uint64_t mLast = 0;
};

void
ReadLines(const RecordObject& aObject,
          const RecordObjectName& aName,
          IncarnationParts& aParts,
          Findings& aFindings)
{
  std::string_view rest = aObject.mContent;
  for (int number = 1; !rest.empty(); ++number) {
    const std::size_t end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    const auto sequence = SequenceOfLine(line);
    const bool complete = end != std::string_view::npos;
    if (!complete || !sequence || *sequence < aName.mFirst ||
        *sequence > aName.mLast) {
      aFindings.push_back({ .mLine = number,
                            .mPath = aObject.mName,
                            .mMessage = "malformed record" });
    } else {
      aParts.mLines.emplace(*sequence, line);
    }
    rest = complete ? rest.substr(end + 1) : std::string_view();
  }
}

/** Adds the missing range [aFirst, aLast] to aGaps, split into parts that are
 *  in aDropped and parts that are not. */
void
AddGaps(std::uint64_t aFirst,
        std::uint64_t aLast,
        const std::vector<SequenceRange>& aDropped,
        std::vector<RecordGap>& aGaps)
{
  std::uint64_t next = aFirst;
  for (const SequenceRange& range : aDropped) {
    const std::uint64_t first = std::max(next, range.mFirst);
    const std::uint64_t last = std::min(aLast, range.mLast);
    if (first > last) {
      continue;
    }
    if (next < first) {
      aGaps.push_back({ { next, first - 1 }, false });
    }
    aGaps.push_back({ { first, last }, true });
    next = last + 1;
  }
  if (next <= aLast) {
    aGaps.push_back({ { next, aLast }, false });
  }
}

/** @return aRanges in ascending order, with overlapping and adjacent ranges
 *    joined. */
std::vector<SequenceRange>
Joined(std::vector<SequenceRange> aRanges)
{
  std::sort(aRanges.begin(),
            aRanges.end(),
            [](const SequenceRange& aLeft, const SequenceRange& aRight) {
              return aLeft.mFirst < aRight.mFirst;
            });
  std::vector<SequenceRange> joined;
  for (const SequenceRange& range : aRanges) {
    if (!joined.empty() && range.mFirst <= joined.back().mLast + 1) {
      joined.back().mLast = std::max(joined.back().mLast, range.mLast);
    } else {
      joined.push_back(range);
    }
  }
  return joined;
}

void
Merge(const IncarnationParts& aParts, IncarnationRecords& aRecords)
{
  const std::vector<SequenceRange> dropped = Joined(aParts.mDropped);
  std::uint64_t next = 1;
  for (const auto& [sequence, line] : aParts.mLines) {
    if (sequence > next) {
      AddGaps(next, sequence - 1, dropped, aRecords.mGaps);
    }
    if (sequence > next || aRecords.mRanges.empty()) {
      aRecords.mRanges.push_back({ sequence, sequence });
    }
    aRecords.mRanges.back().mLast = sequence;
    aRecords.mLines.append(line).append("\n");
    next = sequence + 1;
  }
  if (next <= aParts.mLast) {
    AddGaps(next, aParts.mLast, dropped, aRecords.mGaps);
  }
  aRecords.mFinal = aParts.mFinal;
}

} // namespace

RecordExport
ExportRecords(const std::vector<RecordObject>& aObjects)
{
  using Key = std::tuple<std::string, std::string, std::uint64_t>;
  RecordExport result;
  std::map<Key, IncarnationParts> incarnations;
  for (const RecordObject& object : aObjects) {
    const auto name = ParseRecordObjectName(object.mName);
    if (!name) {
      result.mFindings.push_back(
        { .mPath = object.mName, .mMessage = "not the name of records" });
      continue;
    }
    IncarnationParts& parts =
      incarnations[{ name->mCustomer, name->mNode, name->mIncarnation }];
    parts.mLast = std::max(parts.mLast, name->mLast);
    switch (name->mKind) {
      case RecordObjectKind::Records:
        ReadLines(object, *name, parts, result.mFindings);
        break;
      case RecordObjectKind::Dropped:
        parts.mDropped.push_back({ name->mFirst, name->mLast });
        break;
      case RecordObjectKind::Final:
        parts.mFinal = name->mLast;
        break;
    }
  }
  for (const auto& [key, parts] : incarnations) {
    IncarnationRecords records{ .mCustomer = std::get<0>(key),
                                .mNode = std::get<1>(key),
                                .mIncarnation = std::get<2>(key) };
    Merge(parts, records);
    result.mIncarnations.push_back(std::move(records));
  }
  return result;
}

} // namespace papayaway
