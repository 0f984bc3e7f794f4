#include <sidecar/EventLog.h>

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace papayaway::sidecar {

using nlohmann::ordered_json;

namespace {

/** A pipe that is ready takes this much without blocking (PIPE_BUF). */
constexpr std::size_t kChunk = 4096;
constexpr Millis kFlushDelay{ 100 };

} // namespace

EventLog::EventLog(EventLoop& aLoop, EventLogOptions aOptions)
  : mOptions(std::move(aOptions))
  , mFlush(aLoop,
           [this] {
             mFlushing = false;
             Flush();
           })
  , mSecond(aLoop, [this] { OnSecond(); })
{
  mSecond.StartRepeating(Seconds(1));
}

EventLog::~EventLog()
{
  Flush();
}

bool
EventLog::Wants(const char* aEvent, Weight aWeight)
{
  if (aWeight == Weight::Change) {
    return true;
  }
  Count& count = mCounts[aEvent];
  const int most = aWeight == Weight::Success ? mOptions.mSuccessesPerSecond
                                              : mOptions.mLinesPerSecond;
  if (count.mWritten >= most) {
    ++count.mLeftOut;
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
  ordered_json line = { { "time", WallNow().Whole() },
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
  if (!mFlushing) {
    mFlushing = true;
    mFlush.StartOnce(kFlushDelay);
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
    const ssize_t length = write(mOptions.mDescriptor,
                                 mBuffer.data() + done,
                                 std::min(kChunk, mBuffer.size() - done));
    if (length <= 0) {
      break;
    }
    done += static_cast<std::size_t>(length);
  }
  mBuffer.erase(0, done);
  if (!mBuffer.empty() && !mFlushing) {
    mFlushing = true;
    mFlush.StartOnce(kFlushDelay);
  }
}

void
EventLog::OnSecond()
{
  ordered_json leftOut = ordered_json::object();
  for (auto& [event, count] : mCounts) {
    if (count.mLeftOut > 0) {
      leftOut[event] = count.mLeftOut;
    }
    count = {};
  }
  if (!leftOut.empty() || mDropped != mDroppedTold) {
    Write("log",
          "left_out",
          { { "events", leftOut }, { "dropped", mDropped - mDroppedTold } });
    mDroppedTold = mDropped;
  }
}

} // namespace papayaway::sidecar
