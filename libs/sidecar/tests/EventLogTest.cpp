#include <sidecar/EventLog.h>

#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {
namespace {

using nlohmann::ordered_json;
using Category = EventLog::Category;

class EventLogTest : public ::testing::Test
{
protected:
  EventLogTest() { EXPECT_EQ(pipe2(mPipe.data(), O_NONBLOCK), 0); }
  ~EventLogTest() override
  {
    close(mPipe[0]);
    close(mPipe[1]);
  }

  EventLogOptions Options() const
  {
    return { .mDescriptor = mPipe[1],
             .mNode = "n",
             .mDataCentre = "a",
             .mLinesPerSecond = 10,
             .mSuccessesPerSecond = 2,
             .mMaxBuffered = std::size_t{ 16 } << 10 };
  }

  std::string Read() const
  {
    std::string text(std::size_t{ 1 } << 20, '\0');
    const ssize_t length = read(mPipe[0], text.data(), text.size());
    text.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return text;
  }

  EventLoop mLoop;
  std::array<int, 2> mPipe{};
};

// Guards against missing common fields, on which log consumers rely.
TEST_F(EventLogTest, LinesAreJsonObjectsWithTheCommonFields)
{
  EventLog log(mLoop, Options());
  log.WriteStateChange("state", "desired_state_in_force", { { "version", 7 } });
  log.Flush();
  const ordered_json line = ordered_json::parse(Read());
  for (const char* field : { "time", "node", "data_centre", "part", "event" }) {
    EXPECT_TRUE(line.contains(field)) << field;
  }
  EXPECT_EQ(line["version"], 7);
}

// Guards against a log volume that grows with the request rate, and against
// success lines that use up the limit of failure lines.
TEST_F(EventLogTest, RateIsLimitedAndSuccessesLeaveRoomForFailures)
{
  EventLog log(mLoop, Options());
  int successes = 0;
  int failures = 0;
  for (int i = 0; i < 1000; ++i) {
    successes += log.ShouldWrite("answered", Category::Success) ? 1 : 0;
  }
  for (int i = 0; i < 1000; ++i) {
    failures += log.ShouldWrite("answered", Category::Failure) ? 1 : 0;
  }
  EXPECT_EQ(successes, 2);
  EXPECT_EQ(failures, 8);
}

// Guards against a process that blocks because the reader of its log has
// stopped reading.
TEST_F(EventLogTest, StalledReaderLosesLinesAndDoesNotBlockTheWriter)
{
  EventLog log(mLoop, Options());
  const Millis start = SteadyNow();
  for (int i = 0; i < 5000; ++i) {
    log.WriteStateChange(
      "state", "event", { { "text", std::string(100, 'x') } });
    log.Flush();
  }
  EXPECT_LT(SteadyNow() - start, Seconds(5));
  EXPECT_GT(log.DroppedLines(), 0U);
}

TEST_F(EventLogTest, InvalidUtf8IsReplaced)
{
  EventLog log(mLoop, Options());
  log.WriteStateChange("state", "event", { { "text", "\xff\xfe" } });
  log.Flush();
  EXPECT_TRUE(ordered_json::accept(Read()));
}

// Guards against exported metrics that docs/metrics.md does not list.
TEST(SidecarMetrics, EveryMetricIsDocumented)
{
  SidecarMetrics metrics;
  metrics.OnRequest("r", "2xx", Millis{ 5 });
  metrics.OnRefused("no_room");
  metrics.OnRun("2xx", Millis{ 5 });
  metrics.OnStoreCall("read_nodes", "ok");
  std::ifstream file(std::string(PAPAYAWAY_SOURCE_DIR) + "/docs/metrics.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  std::istringstream text(metrics.Text());
  std::string line;
  int found = 0;
  while (std::getline(text, line)) {
    constexpr std::string_view kType = "# TYPE ";
    if (line.starts_with(kType)) {
      const std::string name =
        line.substr(kType.size(), line.find(' ', kType.size()) - kType.size());
      EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
      ++found;
    }
  }
  EXPECT_GE(found, 18);
}

} // namespace
} // namespace papayaway::sidecar
