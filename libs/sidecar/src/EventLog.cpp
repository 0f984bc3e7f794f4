#include <sidecar/EventLog.h>

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace papayaway::sidecar {

using nlohmann::ordered_json;

namespace {

/** A pipe that polls as writable accepts this many bytes without blocking
 *  (PIPE_BUF). */
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr Millis kFlushDelay{ 100 };

} // namespace

EventLog::EventLog(EventLoop& aLoop, EventLogOptions aOptions)
  : mOptions(std::move(aOptions))
  , mFlushTimer(aLoop,
                [this] {
                  mFlushScheduled = false;
                  Flush();
                })
  , mReportTimer(aLoop, [this] { ReportSuppressed(); })
{
  mReportTimer.StartRepeating(Seconds(1));
}

EventLog::~EventLog()
{
  Flush();
}

bool
EventLog::ShouldWrite(const char* aEvent, Category aCategory)
{
  if (aCategory == Category::StateChange) {
    return true;
  }
  EventCount& count = mCounts[aEvent];
  const int limit = aCategory == Category::Success
                      ? mOptions.mSuccessesPerSecond
                      : mOptions.mLinesPerSecond;
  if (count.mWritten >= limit) {
    ++count.mSuppressed;
    return false;
  }
  ++count.mWritten;
  return true;
}

void
EventLog::Write(const char* aPart,
                const char* aEvent,
                const ordered_json& aFields)
{
  ordered_json line = { { "time", WallNow().WholeMillis() },
                        { "node", mOptions.mNode },
                        { "data_centre", mOptions.mDataCentre },
                        { "part", aPart },
                        { "event", aEvent } };
  line.update(aFields);
  const std::string text =
    line.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
  if (mBuffer.size() + text.size() > mOptions.mMaxBuffered) {
    ++mDropped;
    return;
  }
  mBuffer += text;
  if (!mFlushScheduled) {
    mFlushScheduled = true;
    mFlushTimer.StartOnce(kFlushDelay);
  }
}

void
EventLog::Flush()
{
  std::size_t done = 0;
  while (done < mBuffer.size()) {
    pollfd ready{ .fd = mOptions.mDescriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t length =
      write(mOptions.mDescriptor,
            mBuffer.data() + done,
            std::min(kMaxWriteBytes, mBuffer.size() - done));
    if (length <= 0) {
      break;
    }
    done += static_cast<std::size_t>(length);
  }
  mBuffer.erase(0, done);
  if (!mBuffer.empty() && !mFlushScheduled) {
    mFlushScheduled = true;
    mFlushTimer.StartOnce(kFlushDelay);
  }
}

void
EventLog::ReportSuppressed()
{
  ordered_json suppressed = ordered_json::object();
  for (auto& [event, count] : mCounts) {
    if (count.mSuppressed > 0) {
      suppressed[event] = count.mSuppressed;
    }
    count = {};
  }
  if (!suppressed.empty() || mDropped != mDroppedReported) {
    Write(
      "log",
      "left_out",
      { { "events", suppressed }, { "dropped", mDropped - mDroppedReported } });
    mDroppedReported = mDropped;
  }
}

} // namespace papayaway::sidecar
