#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Finding.h>
#include <records/RecordBuffer.h>

namespace papayaway {

/** A range of sequences, both ends inclusive. */
struct SequenceRange
{
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  bool operator==(const SequenceRange&) const = default;
};

/** A range of records that are not in the object store. */
struct RecordGap
{
  SequenceRange mRange;
  /** Whether the node reported that it dropped the records. Otherwise they are
   *  missing for an unknown reason and may still be stored later. */
  bool mDropped = false;

  bool operator==(const RecordGap&) const = default;
};

/** The records of one customer from one incarnation of a node. */
struct IncarnationRecords
{
  std::string mCustomer;
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::vector<SequenceRange> mRanges;
  std::vector<RecordGap> mGaps;
  /** The last sequence, if the node was shut down cleanly and stored a final
   *  marker. Otherwise records may be missing after the last range. */
  std::optional<std::uint64_t> mFinal;
  /** The lines in ascending order of sequence, without duplicates. */
  std::string mLines;

  bool operator==(const IncarnationRecords&) const = default;
};

/** The result of an export. */
struct RecordExport
{
  /** Sorted by customer, node and incarnation. */
  std::vector<IncarnationRecords> mIncarnations;
  /** Malformed object names and lines; mPath is the name of the object. */
  Findings mFindings;

  bool operator==(const RecordExport&) const = default;
};

/**
 * Merges record objects. Ranges are computed from the lines that are present,
 * not from the names of the objects, so a truncated object leaves a gap.
 */
RecordExport ExportRecords(const std::vector<RecordObject>& aObjects);

} // namespace papayaway
