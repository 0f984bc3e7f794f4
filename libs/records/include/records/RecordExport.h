#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <base/Finding.h>
#include <records/RecordBuffer.h>

namespace papayaway {

/** A range of sequences, both ends included. */
struct SequenceRange
{
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  bool operator==(const SequenceRange&) const = default;
};

/** A range whose records the store does not have. */
struct RecordGap
{
  SequenceRange mRange;
  /** Whether the node said that it dropped them; otherwise they are missing
   *  for an unknown reason and may still arrive. */
  bool mDropped = false;

  bool operator==(const RecordGap&) const = default;
};

/** The records of one customer at one incarnation of a node. */
struct IncarnationRecords
{
  std::string mCustomer;
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::vector<SequenceRange> mRanges;
  std::vector<RecordGap> mGaps;
  /** The last sequence, if the incarnation ended on purpose. Without it
   *  records may be missing after the last range. */
  std::optional<std::uint64_t> mFinal;
  /** The lines in order of sequence, each once. */
  std::string mLines;

  bool operator==(const IncarnationRecords&) const = default;
};

/** The result of an export. */
struct RecordExport
{
  /** Sorted by customer, node and incarnation. */
  std::vector<IncarnationRecords> mIncarnations;
  /** Objects and lines that could not be read; mPath is the object's name. */
  Findings mFindings;

  bool operator==(const RecordExport&) const = default;
};

/**
 * Merges objects of the record store. What counts are the lines that are
 * there, not the ranges in the names: a truncated object leaves a gap.
 */
RecordExport ExportRecords(const std::vector<RecordObject>& aObjects);

} // namespace papayaway
