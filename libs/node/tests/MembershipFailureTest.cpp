#include <csignal>
#include <map>

#include "ClusterTest.h"

namespace papayaway {
namespace {

/** The interval between two calls of StartStream(). */
constexpr Millis kCallPeriod{ 10 };

class MembershipFailure : public ClusterTest
{
protected:
  /** Sends reads and bids in turn through aNodes until StopStream(). */
  void StartStream(const Names& aNodes)
  {
    mEntryNodes = aNodes;
    mSender.StartRepeating(kCallPeriod);
  }

  /** Stops sending, waits until every call is answered, and checks that each
   *  failed call did not run and succeeds when retried through aRetryNode. */
  void StopStream(const std::string& aRetryNode)
  {
    mSender.Stop();
    ASSERT_TRUE(mCluster.WaitUntil([&] { return mResults.size() == mSent; }));
    for (const auto& [number, result] : mResults) {
      if (result.mResponse.mStatus == 200) {
        continue;
      }
      const bool notRun = result.mFailure == HttpFailure::None
                            ? OutcomeOf(result) == "not-run"
                            : !result.mMayHaveRun;
      EXPECT_TRUE(notRun) << "call " << number
                          << " was aborted: " << result.mResponse.mStatus << " "
                          << result.mResponse.mBody << result.mError;
      const HttpResult again =
        mCluster.CallThrough(aRetryNode, RequestOf(number), kLongTimeout);
      EXPECT_EQ(again.mResponse.mStatus, 200) << again.mResponse.mBody;
    }
  }

  [[nodiscard]] std::size_t Answered() const { return mResults.size(); }

  static HttpRequest RequestOf(std::size_t aNumber)
  {
    const std::string text = std::to_string(aNumber);
    if (aNumber % 2 == 0) {
      return { .mPath = "/lots/" + text };
    }
    return { .mMethod = "POST",
             .mPath = "/bids/lot-7",
             .mHeaders = { { "Idempotency-Key", "stream-" + text } },
             .mBody = text };
  }

private:
  void SendNext()
  {
    const std::size_t number = mSent++;
    const std::string& node = mEntryNodes[number / 2 % mEntryNodes.size()];
    mCluster.Client().Send(
      { .mAddress = mCluster.NodeProcess(node).Address("caller"),
        .mRequest = RequestOf(number),
        .mTimeout = kLongTimeout,
        .mIdempotent = number % 2 == 0 },
      [this, number](HttpResult aResult) {
        mResults[number] = std::move(aResult);
      });
  }

  Names mEntryNodes;
  std::size_t mSent = 0;
  std::map<std::size_t, HttpResult> mResults;
  Timer mSender{ mCluster.Loop(), [this] { SendNext(); } };
};

// Guards invariant 8 when a process is paused: the other nodes must declare it
// dead within 8 s, and it must rejoin with a higher incarnation.
TEST_F(MembershipFailure, PausedNodeIsDeadThenAliveAgain)
{
  ASSERT_NO_FATAL_FAILURE(StartCluster(PlansInTwoDataCentres(6, 0),
                                       SampleWithLongDeadlines("rafiki.json")));
  const std::string paused = "ledger-2";
  const Names others = AllBut({ paused });
  const auto before =
    Member("ledger-0", paused)["incarnation"].get<std::uint64_t>();
  mCluster.NodeProcess(paused).Signal(SIGSTOP);
  const auto time = WaitForMember(others, paused, "dead");
  ASSERT_TRUE(time);
  EXPECT_LT(time->mCount, kDetectionLimit.mCount);
  mCluster.NodeProcess(paused).Signal(SIGCONT);
  ASSERT_TRUE(WaitForMember(mCluster.NodeNames(), paused, "alive"));
  for (const std::string& node : mCluster.NodeNames()) {
    EXPECT_GT(Member(node, paused)["incarnation"].get<std::uint64_t>(), before)
      << node;
  }
}

// Guards invariant 2 when a paused process is resumed: it has received nothing
// from its neighbours for a long time, but must not declare them dead.
TEST_F(MembershipFailure, ResumedNodeDeclaresNobodyDead)
{
  ASSERT_NO_FATAL_FAILURE(StartCluster(PlansInTwoDataCentres(6, 0),
                                       SampleWithLongDeadlines("rafiki.json")));
  const std::string paused = "ledger-2";
  const Names others = AllBut({ paused });
  mCluster.NodeProcess(paused).Signal(SIGSTOP);
  ASSERT_TRUE(WaitForMember(others, paused, "dead"));
  mCluster.NodeProcess(paused).Signal(SIGCONT);
  ASSERT_TRUE(WaitForMember(mCluster.NodeNames(), paused, "alive"));
  for (const std::string& node : mCluster.NodeNames()) {
    const auto timeline = Report(node, "/v1/timeline");
    for (const auto& event : timeline["events"]) {
      const std::string text = event["text"];
      if (event["kind"] == "member-changed" && !text.starts_with(paused)) {
        EXPECT_TRUE(text.ends_with(" is alive")) << node << ": " << text;
      }
    }
  }
}

// Guards invariants 2 and 8 when a target dies: within 8 s no more calls are
// sent to it, and calls on idempotent routes succeed.
TEST_F(MembershipFailure, KilledTargetGetsNoCalls)
{
  ASSERT_NO_FATAL_FAILURE(StartCluster(PlansInTwoDataCentres(5, 0),
                                       SampleWithLongDeadlines("rafiki.json")));
  const std::string victim = "ledger-2";
  mCluster.TargetProcess(victim).Kill();
  const auto time = WaitForReady(mCluster.NodeNames(), 4);
  ASSERT_TRUE(time);
  EXPECT_LT(time->mCount, kDetectionLimit.mCount);
  const double before = mCluster.Metric(victim, "papayaway_served_total");
  for (int i = 0; i < 100; ++i) {
    const std::string path = "/lots/" + std::to_string(i);
    for (const std::string& node : mCluster.NodeNames()) {
      const HttpResult result =
        mCluster.CallThrough(node, { .mPath = path }, kLongTimeout);
      EXPECT_EQ(result.mResponse.mStatus, 200) << result.mResponse.mBody;
    }
  }
  EXPECT_EQ(mCluster.Metric(victim, "papayaway_served_total"), before);
}

// Guards invariants 6 and 9 when a node is stopped with SIGTERM under load: no
// call that it serves may be aborted.
TEST_F(MembershipFailure, StoppedNodeAbortsNoCall)
{
  std::vector<NodePlan> plans = PlansInTwoDataCentres(4, 3);
  for (NodePlan& plan : plans) {
    plan.mTargetArguments = { "--work-ms", "40" };
  }
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(plans, SampleWithLongDeadlines("rafiki.json")));
  const Names stopped{ "ledger-2", "hammer-1" };
  StartStream(AllBut(stopped));
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > 100; }));
  for (const std::string& node : stopped) {
    EXPECT_GT(mCluster.Metric(node, "papayaway_served_total"), 0) << node;
    mCluster.NodeProcess(node).Signal(SIGTERM);
  }
  ASSERT_TRUE(mCluster.WaitUntil([&] {
    return !mCluster.NodeProcess("ledger-2").IsRunning() &&
           !mCluster.NodeProcess("hammer-1").IsRunning();
  }));
  const std::size_t answered = Answered();
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > answered + 100; }));
  StopStream("ledger-0");
  for (const std::string& node : stopped) {
    EXPECT_EQ(mCluster.NodeProcess(node).Terminate(), 0) << node;
  }
}

// Guards invariants 6, 8 and 9 when a target is stopped with SIGTERM under
// load: no call that it runs may be aborted.
TEST_F(MembershipFailure, StoppedTargetAbortsNoCall)
{
  std::vector<NodePlan> plans = PlansInTwoDataCentres(4, 3);
  for (NodePlan& plan : plans) {
    plan.mTargetArguments = { "--work-ms", "40" };
  }
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(plans, SampleWithLongDeadlines("rafiki.json")));
  const Names stopped{ "ledger-2", "hammer-1" };
  StartStream(mCluster.NodeNames());
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > 100; }));
  for (const std::string& node : stopped) {
    EXPECT_GT(Stats(node)["runs"].get<int>(), 0) << node;
    mCluster.TargetProcess(node).Signal(SIGTERM);
  }
  ASSERT_TRUE(mCluster.WaitUntil([&] {
    return !mCluster.TargetProcess("ledger-2").IsRunning() &&
           !mCluster.TargetProcess("hammer-1").IsRunning();
  }));
  const std::size_t answered = Answered();
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > answered + 100; }));
  StopStream("ledger-0");
  for (const std::string& node : stopped) {
    EXPECT_EQ(mCluster.TargetProcess(node).Terminate(), 0) << node;
  }
}

} // namespace
} // namespace papayaway
