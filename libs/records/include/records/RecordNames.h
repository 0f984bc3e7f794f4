#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaway {

/** What an object of the record store holds. */
enum class RecordObjectKind
{
  /** The records of a range, one JSON object a line. */
  Records,
  /** Says that the records of a range were dropped for lack of memory. */
  Dropped,
  /** Says the last sequence number of an incarnation that ended on purpose;
   *  mFirst and mLast are both that number. */
  Final,
};

/** The parsed name of an object of the record store. */
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

/** @return the parsed name, or nothing if ToString() does not give aName. */
std::optional<RecordObjectName> ParseRecordObjectName(std::string_view aName);

/** @return the prefix of the names of all objects of aCustomer. */
std::string RecordPrefix(std::string_view aCustomer);

} // namespace papayaway
