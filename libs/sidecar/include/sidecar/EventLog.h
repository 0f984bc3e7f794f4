#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include <base/Millis.h>
#include <net/EventLoop.h>

namespace papayaway::sidecar {

struct EventLogOptions
{
  /** The file descriptor to write to; standard output by default. */
  int mDescriptor = 1;
  /** The values of each line's `node` and `data_centre` fields. */
  std::string mNode;
  std::string mDataCentre;
  /** The most success and failure lines of one event per second. Further ones
   *  are only counted. */
  int mLinesPerSecond = 40;
  /** Success lines of one event are only counted once this many of its lines
   *  were written in the current second. The limit is lower than
   *  mLinesPerSecond, so that successes leave room for failures. */
  int mSuccessesPerSecond = 4;
  /** The most bytes buffered while the reader of the log is slow; lines that
   *  do not fit are dropped. */
  std::size_t mMaxBuffered = std::size_t{ 256 } << 10;
};

/**
 * Writes one JSON object per line and never blocks on the reader.
 *
 * docs/OPERATIONS.md lists the events and their fields. Every line has
 * `time` (wall clock in milliseconds), `node`, `data_centre`, `part` and
 * `event`.
 */
class EventLog
{
public:
  enum class Category
  {
    /** A frequent event, such as a served request; written at the lowest
     *  rate. */
    Success,
    Failure,
    /** A change of state; not subject to the rate limits. */
    StateChange,
  };

  EventLog(EventLoop& aLoop, EventLogOptions aOptions);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  ~EventLog();

  /** @return whether the rate limits allow a line of this event now. If so, the
   *    line counts against them, and the caller builds its fields and calls
   *    Write(). */
  [[nodiscard]] bool ShouldWrite(const char* aEvent, Category aCategory);

  /** Buffers a line that ShouldWrite() allowed. */
  void Write(const char* aPart,
             const char* aEvent,
             const nlohmann::ordered_json& aFields);

  /** Buffers a line about a change of state, without a rate limit. */
  void WriteStateChange(const char* aPart,
                        const char* aEvent,
                        const nlohmann::ordered_json& aFields)
  {
    Write(aPart, aEvent, aFields);
  }

  /** Writes as much of the buffer as the descriptor accepts without
   *  blocking. */
  void Flush();

  /** @return the number of lines dropped because the buffer was full. */
  [[nodiscard]] std::uint64_t DroppedLines() const { return mDropped; }

private:
  /** Lines of one event in the current second. */
  struct EventCount
  {
    int mWritten = 0;
    std::uint64_t mSuppressed = 0;
  };

  void ReportSuppressed();

  EventLogOptions mOptions;
  std::map<std::string, EventCount, std::less<>> mCounts;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedReported = 0;
  Timer mFlushTimer;
  Timer mReportTimer;
  bool mFlushScheduled = false;
};

} // namespace papayaway::sidecar
