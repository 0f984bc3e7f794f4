#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <base/Millis.h>

namespace papayaway::sidecar {

/** One row of the platform's store. */
struct Row
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  /** Of the last change; 0 for a row that does not exist. */
  std::uint64_t mVersion = 0;
  /** In a list of changes: whether the row was removed. */
  bool mDeleted = false;

  bool operator==(const Row&) const = default;
};

/** What a read returns. */
struct RowList
{
  std::vector<Row> mRows;
  /** Of the store as a whole; changes after it are still to come. */
  std::uint64_t mVersion = 0;
  /** The store's steady clock, if it told it. */
  Millis mStoreClock;

  bool operator==(const RowList&) const = default;
};

enum class StoreFailure
{
  /** Nothing was done. */
  Unavailable,
  /** A condition did not hold; nothing was done. */
  Conflict,
  /** The changes since the asked version are not kept any more. */
  HistoryGone,
  /** The change may have been made, or may yet be made. */
  OutcomeUnknown,
};

struct StoreError
{
  StoreFailure mFailure = StoreFailure::Unavailable;
  std::string mMessage;

  bool operator==(const StoreError&) const = default;
};

/** An atomic change: all of it or nothing. */
struct StoreChange
{
  /** Rows that must have these versions. */
  std::vector<Row> mConditions;
  std::vector<Row> mWrites;
  std::vector<Row> mDeletes;

  bool operator==(const StoreChange&) const = default;
};

/** The platform's store of rows: what must last or be agreed on. */
class RowStore
{
public:
  using ListCallback = std::function<void(tl::expected<RowList, StoreError>)>;

  virtual ~RowStore() = default;

  /** Reads a whole table. */
  virtual void Read(const std::string& aTable, ListCallback aCallback) = 0;

  /** Waits for changes of a table after a version.
   *  @param aWait an empty list comes after this time. */
  virtual void Follow(const std::string& aTable,
                      std::uint64_t aAfter,
                      Millis aWait,
                      ListCallback aCallback) = 0;

  /** Makes a change. The list that comes has no rows. */
  virtual void Commit(const StoreChange& aChange, ListCallback aCallback) = 0;
};

} // namespace papayaway::sidecar
