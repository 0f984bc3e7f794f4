#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaway {

/** The content of a record object. */
enum class RecordObjectKind
{
  /** The records of a range, one JSON object per line. */
  Records,
  /** No content; the records of the range were dropped for lack of memory. */
  Dropped,
  /** No content; marks the end of an incarnation that was shut down cleanly.
   *  mFirst and mLast are both the last sequence. */
  Final,
};

/** The parsed name of a record object. */
struct RecordObjectName
{
  std::string mCustomer;
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  RecordObjectKind mKind = RecordObjectKind::Records;
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  bool operator==(const RecordObjectName&) const = default;

  /** @return "records/customer/node/incarnation/first-last", with the suffix
   *    ".dropped" for a dropped range, or ".../final-last". Characters other
   *    than letters, digits, '-', '_' and '.' are percent-encoded. */
  [[nodiscard]] std::string ToString() const;
};

/** @return the parsed name, or nothing if aName is not a name in the form that
 *    ToString() gives. */
std::optional<RecordObjectName> ParseRecordObjectName(std::string_view aName);

/** @return the prefix of the names of all objects of aCustomer. */
std::string RecordPrefix(std::string_view aCustomer);

} // namespace papayaway
