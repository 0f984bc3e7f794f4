#include <algorithm>
#include <map>

#include "ClusterTest.h"

namespace papayaway {
namespace {

/** How long a failing version may receive calls after the take-back. */
constexpr Millis kTakeBackLimit = Seconds(2);

class MoveFailure : public ClusterTest
{
protected:
  /** Sends bids through all nodes in turn until the test ends. */
  void StartBids() { mSender.StartRepeating({ 5 }); }

  [[nodiscard]] std::size_t Answered() const { return mAnswered; }

  /** @return the state of the move of service hammer that aNode reports. */
  std::string MoveState(const std::string& aNode)
  {
    const auto report = Report(aNode, "/v1/moves");
    for (const auto& move : report.value("moves", nlohmann::json::array())) {
      if (move["service"] == "hammer") {
        return move["state"];
      }
    }
    return "";
  }

  /** Waits until all nodes report the move in state aState. */
  std::optional<Millis> WaitForMove(const std::string& aState)
  {
    return mCluster.WaitUntil(
      [&] {
        const Names& nodes = mCluster.NodeNames();
        return std::all_of(
          nodes.begin(), nodes.end(), [&](const std::string& aNode) {
            return MoveState(aNode) == aState;
          });
      },
      kLongTimeout);
  }

  /** @return the number of bids that the targets of v2 have started to run. */
  int RunsOfNewVersion()
  {
    int runs = 0;
    for (const std::string& node : mCluster.NodeNames()) {
      if (mCluster.Plan(node).mVersion == "v2") {
        runs += Stats(node)["runs"].get<int>();
      }
    }
    return runs;
  }

  /** @return plans with two ledger and two hammer targets of v1, and two hammer
   *    targets of v2 that get aArgumentsOfNew. */
  static std::vector<NodePlan> Plans(
    const std::vector<std::string>& aArgumentsOfNew)
  {
    std::vector<NodePlan> plans = PlansInTwoDataCentres(2, 4);
    for (NodePlan& plan : plans) {
      // Enough slots that targets on a busy test host refuse no call.
      plan.mSlots = 64;
      if (plan.mName == "hammer-2" || plan.mName == "hammer-3") {
        plan.mVersion = "v2";
        plan.mTargetArguments = aArgumentsOfNew;
      }
    }
    return plans;
  }

  static nlohmann::json MoveDocument(int aDeadlineSeconds)
  {
    nlohmann::json document = SampleWithLongDeadlines("rafiki-move.json");
    for (auto& service : document["services"]) {
      if (service.contains("move")) {
        service["move"]["deadline_s"] = aDeadlineSeconds;
      }
    }
    return document;
  }

  /** The number of answered calls by status; 0 for calls without a response. */
  std::map<int, int> mStatuses;
  /** The bodies and errors of calls whose status is not 200. */
  std::vector<std::string> mFailureTexts;

private:
  void SendNext()
  {
    const Names& nodes = mCluster.NodeNames();
    const std::size_t number = mSent++;
    mCluster.Client().Send(
      { .mAddress =
          mCluster.NodeProcess(nodes[number % nodes.size()]).Address("caller"),
        .mRequest = { .mMethod = "POST",
                      .mPath = "/bids/lot-7",
                      .mHeaders = { { "Idempotency-Key",
                                      "move-" + std::to_string(number) } },
                      .mBody = "bid" },
        .mTimeout = kLongTimeout,
        .mIdempotent = false },
      [this](const HttpResult& aResult) {
        ++mAnswered;
        ++mStatuses[aResult.mResponse.mStatus];
        if (aResult.mResponse.mStatus != 200) {
          mFailureTexts.push_back(aResult.mResponse.mBody + aResult.mError);
        }
      });
  }

  std::size_t mSent = 0;
  std::size_t mAnswered = 0;
  Timer mSender{ mCluster.Loop(), [this] { SendNext(); } };
};

// Guards invariant 10 for version moves: the move to a working version must
// finish without a take-back and without a failed call.
TEST_F(MoveFailure, GoodVersionFinishes)
{
  ASSERT_NO_FATAL_FAILURE(StartCluster(Plans({}), MoveDocument(15)));
  StartBids();
  const auto time = WaitForMove("finished");
  ASSERT_TRUE(time) << Report("ledger-0", "/v1/moves");
  const std::size_t answered = Answered();
  const int runs = RunsOfNewVersion();
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > answered + 100; }));
  EXPECT_GT(RunsOfNewVersion(), runs);
  EXPECT_EQ(mStatuses.size(), 1U)
    << nlohmann::json(mStatuses) << nlohmann::json(mFailureTexts);
}

// Guards invariants 3 and 4 when a new version fails during an outage of the
// platform: the nodes that observe the failures take the move back without a
// lease, and no bid runs on the new version 2 s later.
TEST_F(MoveFailure, BadVersionIsTakenBackDuringOutage)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(Plans({ "--fault", "fail" }), MoveDocument(600)));
  ASSERT_TRUE(mCluster.WaitUntil([&] {
    const auto moves = Report("ledger-0", "/v1/moves")["moves"];
    return !moves.empty() && moves[0]["share"].get<int>() > 0;
  }));
  mCluster.SetPlatformFaults({ { "outage", true } });
  StartBids();
  const auto time = WaitForMove("taken back");
  ASSERT_TRUE(time) << Report("ledger-0", "/v1/moves");
  mCluster.RunFor(kTakeBackLimit);
  const int runs = RunsOfNewVersion();
  EXPECT_GT(runs, 0);
  const std::size_t answered = Answered();
  ASSERT_TRUE(mCluster.WaitUntil([&] { return Answered() > answered + 400; }));
  EXPECT_EQ(RunsOfNewVersion(), runs);
  // The move stays taken back when the platform is available again.
  mCluster.SetPlatformFaults({ { "outage", false } });
  const auto [status, body] = Promote("ledger-1", MoveDocument(500), mVersion);
  ASSERT_EQ(status, 200) << body;
  ASSERT_TRUE(
    WaitForVersion(mCluster.NodeNames(), body["version"].get<std::uint64_t>()));
  EXPECT_TRUE(WaitForMove("taken back"));
  EXPECT_EQ(RunsOfNewVersion(), runs);
}

} // namespace
} // namespace papayaway
