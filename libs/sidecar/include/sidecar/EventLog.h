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
  int mDescriptor = 1;
  /** The line's `node` and `data_centre`. */
  std::string mNode;
  std::string mDataCentre;
  /** Lines of one event in a second; more are counted and left out. */
  int mLinesPerSecond = 40;
  /** Lines of successes in a second, so that failures keep their place. */
  int mSuccessesPerSecond = 4;
  /** Bytes that wait for the reader of the log; more are dropped. */
  std::size_t mMaxBuffered = std::size_t{ 256 } << 10;
};

/**
 * Writes one JSON object a line, without ever waiting for the reader.
 *
 * docs/OPERATIONS.md lists the events and their fields. Every line has
 * `time` (milliseconds of the wall clock), `node`, `data_centre`, `part` and
 * `event`.
 */
class EventLog
{
public:
  enum class Weight
  {
    /** One of many alike, such as a request that was served. */
    Success,
    Failure,
    /** A change of state: never left out for its number. */
    Change,
  };

  EventLog(EventLoop& aLoop, EventLogOptions aOptions);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  ~EventLog();

  /** @return whether a line of this event would be written now; asking takes
   *    its place in the budget. The caller builds the fields only then. */
  [[nodiscard]] bool Wants(const char* aEvent, Weight aWeight);

  /** Writes a line that Wants() agreed to. */
  void Write(const char* aPart,
             const char* aEvent,
             const nlohmann::ordered_json& aFields);

  /** Writes a change of state. */
  void Change(const char* aPart,
              const char* aEvent,
              const nlohmann::ordered_json& aFields)
  {
    Write(aPart, aEvent, aFields);
  }

  /** Writes what the reader takes now. */
  void Flush();

  /** @return lines dropped because the reader was too slow. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

private:
  struct Count
  {
    int mWritten = 0;
    std::uint64_t mLeftOut = 0;
  };

  void OnSecond();

  EventLogOptions mOptions;
  std::map<std::string, Count, std::less<>> mCounts;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedTold = 0;
  Timer mFlush;
  Timer mSecond;
  bool mFlushing = false;
};

} // namespace papayaway::sidecar
