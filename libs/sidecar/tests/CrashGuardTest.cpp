#include <sidecar/CrashGuard.h>

#include <map>
#include <memory>
#include <optional>
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
        mMetrics,
        [this, name](const QuarantineMessage& aKept) { mKept[name] = aKept; }));
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

  /** Simulates a crash of a node's target with these requests in flight.
   *  @param aNoticedAfter the time from the loss of their connections until the
   *    end of the target shows. */
  void CrashTarget(std::size_t aNode,
                   const std::vector<std::string>& aPaths,
                   Millis aNoticedAfter = {})
  {
    for (const std::string& path : aPaths) {
      mGuards[aNode]->OnCallLost(Call(path), mNow);
    }
    EndTarget(aNode, mNow + aNoticedAfter);
  }

  /** Reports that the end of a node's target shows at the given time. */
  void EndTarget(std::size_t aNode,
                 Millis aNow,
                 std::optional<Millis> aReplacedAt = {})
  {
    mGuards[aNode]->OnTargetEnded("s", aReplacedAt, aNow);
    mGuards[aNode]->OnTick(aNow + CrashGuard::kSettleTime, WallNow());
  }

  const Millis mNow = Seconds(100);
  EventLoop mLoop;
  int mSink;
  EventLog mLog;
  SidecarMetrics mMetrics;
  std::vector<std::unique_ptr<CrashGuard>> mGuards;
  /** What each node keeps beyond its process. */
  std::map<std::string, QuarantineMessage> mKept;
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
  restarted.OnQuarantined(mGuards[3]->Quarantined(), false);
  EXPECT_TRUE(restarted.IsQuarantined(Call("/bad")));
  EXPECT_FALSE(restarted.IsQuarantined(Call("/good")));
  EXPECT_EQ(restarted.Quarantined(), mGuards[3]->Quarantined());
}

// Guards against quarantines, and crashes counted so far, that are forgotten
// when all nodes are killed (review 9), and against requests that have run
// since and are suspects again.
TEST_F(CrashGuardTest, KeptCrashesCountAfterAllNodesWereKilled)
{
  CrashTarget(0, { "/bad", "/one" });
  CrashTarget(1, { "/one", "/bad" });
  mGuards[2]->OnAnswered(Call("/one"), mNow, mNow);
  const auto restart = [&] {
    const auto kept = mKept;
    for (std::size_t i = 0; i < mGuards.size(); ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      mGuards[i] = std::make_unique<CrashGuard>(
        name,
        [this](const PeerMessage& aMessage) { Broadcast(aMessage); },
        mLog,
        mMetrics,
        [this, name](const QuarantineMessage& aKept) { mKept[name] = aKept; });
      for (const auto& [node, message] : kept) {
        mGuards[i]->OnQuarantined(message, node == name);
      }
    }
  };
  for (const auto& guard : mGuards) {
    EXPECT_TRUE(guard->IsQuarantined(Call("/bad")));
    guard->OnTick(mNow, WallNow());
  }
  for (int i = 0; i < 2; ++i) {
    restart();
    for (const auto& guard : mGuards) {
      EXPECT_TRUE(guard->IsQuarantined(Call("/bad")));
      EXPECT_FALSE(guard->IsQuarantined(Call("/one")));
      guard->OnTick(mNow, WallNow());
    }
  }
  EXPECT_TRUE(mKept["c"].mCrashes.empty());
  CrashTarget(0, { "/worse" });
  restart();
  CrashTarget(1, { "/worse" });
  EXPECT_TRUE(mGuards[2]->IsQuarantined(Call("/worse")));
}

// Guards against rows of the store that grow with the number of crashes.
TEST_F(CrashGuardTest, KeptCrashesAreBounded)
{
  for (const int suspects : { 33, 1, 2, 1, 32, 1 }) {
    std::vector<std::string> paths;
    paths.reserve(static_cast<std::size_t>(suspects));
    for (int i = 0; i < suspects; ++i) {
      paths.push_back("/" + std::to_string(mKept["a"].mCrashes.size()) + "/" +
                      std::to_string(suspects) + "/" + std::to_string(i));
    }
    CrashTarget(0, paths);
  }
  EXPECT_EQ(mKept["a"].mCrashes.size(), kMaxStoredCrashes);
  for (const CrashEvidence& crash : mKept["a"].mCrashes) {
    EXPECT_LE(crash.mSuspects.size(), kMaxStoredSuspects);
  }
}

// Guards against quarantining a harmless request that was in flight at the same
// crashes as the request that caused them.
TEST_F(CrashGuardTest, RequestAnsweredAfterCrashesIsNotQuarantined)
{
  CrashTarget(0, { "/bad", "/good" });
  CrashTarget(1, { "/bad", "/good" });
  mGuards[2]->OnAnswered(Call("/good"), mNow, mNow);
  for (const auto& guard : mGuards) {
    EXPECT_TRUE(guard->IsQuarantined(Call("/bad")));
    EXPECT_FALSE(guard->IsQuarantined(Call("/good")));
  }
}

// Guards against counting connection resets as crashes: the target still
// accepts connections, so OnTargetEnded() is not called.
TEST_F(CrashGuardTest, LostConnectionsAloneAreNotCrashes)
{
  for (int i = 0; i < 10; ++i) {
    mGuards[0]->OnCallLost(Call("/reset"), mNow);
    mGuards[0]->OnTick(mNow + Seconds(i), WallNow());
  }
  EXPECT_FALSE(mGuards[0]->IsQuarantined(Call("/reset")));
}

// Guards against crashes that are not counted because the end of the target
// shows only when the next process checks in.
TEST_F(CrashGuardTest, CallLostLongBeforeTheEndShowsIsASuspect)
{
  for (const std::size_t node : { 0, 1, 2 }) {
    CrashTarget(node, { "/bad" }, Seconds(12));
  }
  EXPECT_TRUE(mGuards[3]->IsQuarantined(Call("/bad")));
}

// Guards against suspecting a request whose response was lost, when its target
// ends much later for another reason.
TEST_F(CrashGuardTest, CallThatItsTargetSurvivedIsNotASuspect)
{
  for (const std::size_t node : { 0, 1, 2 }) {
    mGuards[node]->OnCallLost(Call("/lost"), mNow);
    mGuards[node]->OnAnswered(Call("/next"), mNow + Seconds(1), mNow);
    EndTarget(node, mNow + Seconds(5));
  }
  EXPECT_FALSE(mGuards[3]->IsQuarantined(Call("/lost")));
}

// Guards against taking an answer of the next process, which may have the same
// id, as evidence that the crashed one has survived.
TEST_F(CrashGuardTest, AnswerOfTheNextProcessDoesNotClearTheCrashRequest)
{
  for (const std::size_t node : { 0, 1, 2 }) {
    mGuards[node]->OnCallLost(Call("/bad"), mNow);
    mGuards[node]->OnAnswered(
      Call("/next"), mNow + Seconds(3), mNow + Seconds(4));
    EndTarget(node, mNow + Seconds(5), mNow + Seconds(2));
  }
  EXPECT_TRUE(mGuards[3]->IsQuarantined(Call("/bad")));
}

// Guards against leaving out requests of which the connection loss is read
// after the refused connection that shows the crash.
TEST_F(CrashGuardTest, CallLostRightAfterTheEndShowsIsASuspect)
{
  for (const std::size_t node : { 0, 1, 2 }) {
    mGuards[node]->OnTargetEnded("s", std::nullopt, mNow);
    mGuards[node]->OnCallLost(Call("/bad"), mNow + Millis{ 10 });
    mGuards[node]->OnTick(mNow + CrashGuard::kSettleTime, WallNow());
  }
  EXPECT_TRUE(mGuards[3]->IsQuarantined(Call("/bad")));
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
