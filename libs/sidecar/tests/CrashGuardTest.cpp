#include <sidecar/CrashGuard.h>

#include <memory>
#include <string>
#include <vector>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <net/EventLoop.h>

namespace papayaway::sidecar {
namespace {

/** Four nodes whose CrashGuards receive each other's messages. */
class CrashGuardTest : public ::testing::Test
{
protected:
  CrashGuardTest()
    : mSink(open("/dev/null", O_WRONLY))
    , mLog(mLoop, { .mDescriptor = mSink })
  {
    for (const char* const name : { "a", "b", "c", "d" }) {
      mGuards.push_back(std::make_unique<CrashGuard>(
        name,
        [this](const PeerMessage& aMessage) { Broadcast(aMessage); },
        mLog,
        mMetrics));
    }
  }
  ~CrashGuardTest() override { close(mSink); }

  void Broadcast(const PeerMessage& aMessage)
  {
    for (const auto& guard : mGuards) {
      if (const auto* crash = std::get_if<CrashMessage>(&aMessage)) {
        guard->OnCrashReport(*crash);
      } else if (const auto* completed =
                   std::get_if<SuspectCompletedMessage>(&aMessage)) {
        guard->OnSuspectCompleted(*completed);
      }
    }
  }

  static CallMessage Call(const std::string& aPath)
  {
    return {
      .mService = "s", .mRoute = "r", .mMethod = "GET", .mTarget = aPath
    };
  }

  /** Simulates a crash of a node's target with these requests in flight. */
  void CrashTarget(std::size_t aNode, const std::vector<std::string>& aPaths)
  {
    const Millis now = SteadyNow();
    for (const std::string& path : aPaths) {
      mGuards[aNode]->OnConnectionLost(Call(path), now);
    }
    mGuards[aNode]->OnTargetGone("s", now);
  }

  EventLoop mLoop;
  int mSink;
  EventLog mLog;
  SidecarMetrics mMetrics;
  std::vector<std::unique_ptr<CrashGuard>> mGuards;
};

// Guards against a request that crashes one target after another: after its
// third crash, no node may send it to a target.
TEST_F(CrashGuardTest, RequestInFlightAtThreeCrashesIsQuarantinedOnAllNodes)
{
  CrashTarget(0, { "/bad", "/one" });
  CrashTarget(1, { "/two", "/bad" });
  EXPECT_FALSE(mGuards[3]->IsQuarantined(Call("/bad")));
  CrashTarget(2, { "/bad", "/three" });
  for (const auto& guard : mGuards) {
    EXPECT_TRUE(guard->IsQuarantined(Call("/bad")));
    EXPECT_FALSE(guard->IsQuarantined(Call("/one")));
    EXPECT_FALSE(guard->IsQuarantined(Call("/three")));
  }
}

// Guards against a restarted node that sends quarantined requests to its
// target: a restart loses the node's state, so it must learn the quarantines
// from a linked node.
TEST_F(CrashGuardTest, RestartedNodeLearnsQuarantinedRequests)
{
  for (const std::size_t node : { 0, 1, 2 }) {
    CrashTarget(node, { "/bad" });
  }
  CrashGuard restarted(
    "e", [](const PeerMessage&) {}, mLog, mMetrics);
  EXPECT_TRUE(restarted.Quarantined().mFacts.empty());
  EXPECT_FALSE(restarted.IsQuarantined(Call("/bad")));
  restarted.OnQuarantined(mGuards[3]->Quarantined());
  EXPECT_TRUE(restarted.IsQuarantined(Call("/bad")));
  EXPECT_FALSE(restarted.IsQuarantined(Call("/good")));
  EXPECT_EQ(restarted.Quarantined(), mGuards[3]->Quarantined());
}

// Guards against quarantining a harmless request that was in flight at the same
// crashes as the request that caused them.
TEST_F(CrashGuardTest, RequestAnsweredAfterCrashesIsNotQuarantined)
{
  CrashTarget(0, { "/bad", "/good" });
  CrashTarget(1, { "/bad", "/good" });
  mGuards[2]->OnAnswered(Call("/good"));
  for (const auto& guard : mGuards) {
    EXPECT_TRUE(guard->IsQuarantined(Call("/bad")));
    EXPECT_FALSE(guard->IsQuarantined(Call("/good")));
  }
}

// Guards against counting connection resets as crashes: the target still
// accepts connections, so OnTargetGone() is not called.
TEST_F(CrashGuardTest, LostConnectionsAloneAreNotCrashes)
{
  for (int i = 0; i < 10; ++i) {
    mGuards[0]->OnConnectionLost(Call("/reset"), SteadyNow());
  }
  EXPECT_FALSE(mGuards[0]->IsQuarantined(Call("/reset")));
}

TEST_F(CrashGuardTest, DuplicateCrashReportIsIgnored)
{
  const CrashMessage report{
    .mReport = { .mId = "x/1", .mService = "s", .mFingerprints = { "f" } }
  };
  EXPECT_TRUE(mGuards[0]->OnCrashReport(report));
  EXPECT_FALSE(mGuards[0]->OnCrashReport(report));
}

} // namespace
} // namespace papayaway::sidecar
