#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include <base/Millis.h>
#include <gateway/StoreVersion.h>

namespace papayaway::sidecar {

/** One row of the platform's store. */
struct Row
{
  std::string mTable;
  std::string mKey;
  std::string mValue;
  /** The store version of the last change; 0 if the row does not exist. */
  gateway::StoreVersion mVersion;
  /** Whether the row was deleted; set only in lists of changes. */
  bool mDeleted = false;

  bool operator==(const Row&) const = default;
};

/** The result of a call to the store. */
struct RowList
{
  std::vector<Row> mRows;
  /** The store version that the list reflects; Follow() returns the changes
   *  after it. Its era is the one that the store reported. */
  gateway::StoreVersion mVersion;
  /** The store's steady clock at the time of the response; 0 if not reported.
   */
  Millis mStoreClock;

  bool operator==(const RowList&) const = default;
};

enum class StoreFailure
{
  /** The store can't be reached or refused the call; nothing was changed. */
  Unavailable,
  /** A condition of a change did not hold; nothing was changed. */
  Conflict,
  /** The store no longer keeps all changes since the requested version. */
  HistoryGone,
  /** The change may have been applied or may still be applied. */
  OutcomeUnknown,
};

struct StoreError
{
  StoreFailure mFailure = StoreFailure::Unavailable;
  std::string mMessage;
  /** The era that the store reported; nothing if it did not answer. */
  std::optional<std::uint64_t> mEra;

  bool operator==(const StoreError&) const = default;
};

/** A change that is applied atomically. */
struct StoreChange
{
  /** Rows that must exist with exactly these versions; version 0 means that
   *  the row must not exist. */
  std::vector<Row> mConditions;
  std::vector<Row> mWrites;
  std::vector<Row> mDeletes;

  bool operator==(const StoreChange&) const = default;
};

/** The platform's row store. It holds data that must survive restarts or be
 *  consistent across nodes. It may come back from a copy; see
 *  gateway::StoreVersion. */
class RowStore
{
public:
  using ListCallback = std::function<void(tl::expected<RowList, StoreError>)>;

  virtual ~RowStore() = default;

  /** Reads a whole table. */
  virtual void Read(const std::string& aTable, ListCallback aCallback) = 0;

  /** Waits for changes of a table after a version (long polling).
   *  @param aAfter the number of the store version that the caller knows, which
   *    must be of the store's present era.
   *  @param aWait how long the store waits before it returns an empty list. */
  virtual void Follow(const std::string& aTable,
                      std::uint64_t aAfter,
                      Millis aWait,
                      ListCallback aCallback) = 0;

  /** Applies a change. The resulting list has no rows. */
  virtual void Commit(const StoreChange& aChange, ListCallback aCallback) = 0;
};

} // namespace papayaway::sidecar
