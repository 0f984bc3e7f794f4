#include "Demo.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

#include "Layouts.h"

namespace papayaway {

namespace {

/** The objective for the time until a promoted document is in force on every
 *  node. */
constexpr Millis kMaxConvergenceTime = Seconds(4);

std::string
FormatTime(const std::optional<Millis>& aTime)
{
  return aTime ? std::to_string(aTime->WholeMillis()) + " ms" : "not in time";
}

class Demo
{
public:
  Demo(const std::string& aPrograms,
       const std::string& aSamples,
       Checks& aChecks)
    : mCluster({ .mPrograms = aPrograms })
    , mSamples(aSamples)
    , mChecks(aChecks)
  {
  }

  void Run()
  {
    StartEverything();
    PromoteFirst();
    ServeReads();
    ServeBids();
    RaceOperators();
    MoveGoodVersion();
    TakeBackBadVersion();
    KillAndRestart();
    StopGracefully();
    SimulatePlatformOutage();
    ShowTimeline();
  }

private:
  [[nodiscard]] std::optional<Millis> WaitForVersion(std::uint64_t aVersion)
  {
    return mCluster.WaitUntil([&] {
      const auto versions = mCluster.DocumentVersions();
      return std::all_of(
        versions.begin(), versions.end(), [&](const auto& aEntry) {
          return aEntry.second >= aVersion;
        });
    });
  }

  [[nodiscard]] std::optional<Millis> WaitForReadyEndpoints(
    std::size_t aExpected)
  {
    return mCluster.WaitUntil([&] {
      for (const std::string& node : mCluster.NodeNames()) {
        if (!mCluster.NodeProcess(node).IsRunning()) {
          continue;
        }
        const auto [status, body] =
          mCluster.Admin(node, "GET", "/v1/endpoints");
        std::size_t ready = 0;
        if (status == 200) {
          for (const auto& endpoint : body["endpoints"]) {
            ready += endpoint["state"] == "ready" ? 1 : 0;
          }
        }
        if (ready != aExpected) {
          return false;
        }
      }
      return true;
    });
  }

  void StartEverything()
  {
    const std::vector<NodePlan> plans = RafikiPlans();
    mChecks.Step("start the platform stand-in, " +
                 std::to_string(plans.size()) +
                 " nodes and their targets in two regions");
    mCluster.StartPlatform();
    mCluster.StartAll(plans);
    const auto time = WaitForReadyEndpoints(plans.size());
    mChecks.Check(time.has_value(),
                  "every node knows every endpoint: " + FormatTime(time));
  }

  void PromoteFirst()
  {
    mChecks.Step("promote the Rafiki document");
    const auto version = mCluster.Promote(
      mCluster.NodeNames().front(), ReadJson(mSamples + "/rafiki.json"), 0);
    mChecks.Check(version.has_value(), "the promotion was accepted");
    mVersion = version.value_or(0);
    const auto time = WaitForVersion(mVersion);
    mChecks.Check(time && *time < kMaxConvergenceTime,
                  "it is in force on every node within 4 s: " +
                    FormatTime(time));
  }

  void ServeReads()
  {
    mChecks.Step("read lot catalogues through every node");
    int correct = 0;
    int calls = 0;
    for (int round = 0; round < 20; ++round) {
      for (const std::string& node : mCluster.NodeNames()) {
        const std::string path = "/lots/" + std::to_string(++calls);
        const HttpResult result = mCluster.CallThrough(node, { .mPath = path });
        correct += result.mResponse.mStatus == 200 &&
                       result.mResponse.mBody.find("\"" + path + "\"") !=
                         std::string::npos
                     ? 1
                     : 0;
      }
    }
    mChecks.Check(correct == calls,
                  std::to_string(correct) + " of " + std::to_string(calls) +
                    " calls got the response to their own request");
  }

  HttpResult Bid(const std::string& aNode, const std::string& aKey)
  {
    return mCluster.CallThrough(
      aNode,
      { .mMethod = "POST",
        .mPath = "/bids/lot-7",
        .mHeaders = { { "Idempotency-Key", aKey },
                      { "Papayaway-Customer", "rafiki" } },
        .mBody = R"({"amount":100,"key":")" + aKey + "\"}" });
  }

  /** @return by idempotency key, how often running targets ran its request. */
  std::map<std::string, int> RunsByKey()
  {
    std::map<std::string, int> runs;
    for (const std::string& node : mCluster.NodeNames()) {
      if (!mCluster.TargetProcess(node).IsRunning()) {
        continue;
      }
      const HttpResult result = mCluster.Send(
        { .mAddress = mCluster.TargetProcess(node).Address("http"),
          .mRequest = { .mPath = "/stats" } });
      const auto stats =
        nlohmann::json::parse(result.mResponse.mBody, nullptr, false);
      if (stats.is_object() && stats.contains("keys")) {
        for (const auto& [key, count] : stats["keys"].items()) {
          runs[key] += count.get<int>();
        }
      }
    }
    return runs;
  }

  void ServeBids()
  {
    mChecks.Step("place 100 bids, each sent again through another node");
    const auto& nodes = mCluster.NodeNames();
    int ran = 0;
    int replayed = 0;
    for (std::size_t i = 0; i < 100; ++i) {
      const std::string key = "bid-" + std::to_string(i);
      const HttpResult first = Bid(nodes[i % nodes.size()], key);
      const HttpResult again = Bid(nodes[(i + 3) % nodes.size()], key);
      ran += first.mResponse.mStatus == 200 ? 1 : 0;
      replayed += first.mResponse.mBody == again.mResponse.mBody ? 1 : 0;
    }
    mChecks.Check(ran == 100, std::to_string(ran) + " of 100 bids ran");
    mChecks.Check(replayed == 100,
                  std::to_string(replayed) +
                    " of 100 retries got the recorded response");
    CheckNoKeyRanTwice();
  }

  void CheckNoKeyRanTwice()
  {
    const auto runs = RunsByKey();
    const bool once =
      std::all_of(runs.begin(), runs.end(), [](const auto& aRun) {
        return aRun.second <= 1;
      });
    mChecks.Check(once,
                  "none of " + std::to_string(runs.size()) + " keys ran twice");
  }

  void RaceOperators()
  {
    mChecks.Step(
      "two operators promote documents with the same parent version");
    auto document = ReadJson(mSamples + "/rafiki.json");
    document["routes"][0]["deadline_ms"] = 600;
    const auto winner =
      mCluster.Promote(mCluster.NodeNames()[1], document, mVersion);
    document["routes"][0]["deadline_ms"] = 700;
    const auto [status, body] =
      mCluster.Admin(mCluster.NodeNames()[2],
                     "POST",
                     "/v1/promote",
                     { { "environment", "production" },
                       { "parent", mVersion },
                       { "document", document } });
    mChecks.Check(winner.has_value(), "one promotion is accepted");
    mChecks.Check(status == 409 && winner && body["version"] == *winner,
                  "the other is refused with the version of the winner");
    mVersion = winner.value_or(mVersion);
    const auto time = WaitForVersion(mVersion);
    mChecks.Check(time && *time < kMaxConvergenceTime,
                  "the accepted document is in force on every node: " +
                    FormatTime(time));
  }

  /** Sends 200 bids per second through all nodes in turn until Finish(). */
  class BidSender
  {
  public:
    BidSender(Cluster& aCluster, std::string aPrefix)
      : mCluster(aCluster)
      , mPrefix(std::move(aPrefix))
      , mTimer(aCluster.Loop(), [this] { Send(); })
    {
      mTimer.StartRepeating({ 5 });
    }

    /** Sends no further bids and waits for the bids in flight. */
    void Finish()
    {
      mTimer.Stop();
      mCluster.WaitUntil([this] { return mEnded == mSent; });
    }

    int mSent = 0;
    int mEnded = 0;
    int mSucceeded = 0;

  private:
    void Send()
    {
      const auto& nodes = mCluster.NodeNames();
      const std::string& node =
        nodes[static_cast<std::size_t>(mSent) % nodes.size()];
      const std::string key = mPrefix + std::to_string(mSent++);
      mCluster.Client().Send(
        { .mAddress = mCluster.NodeProcess(node).Address("caller"),
          .mRequest = { .mMethod = "POST",
                        .mPath = "/bids/lot-9",
                        .mHeaders = { { "Idempotency-Key", key } },
                        .mBody = key } },
        [this](const HttpResult& aResult) {
          ++mEnded;
          mSucceeded += aResult.mResponse.mStatus == 200 ? 1 : 0;
        });
    }

    Cluster& mCluster;
    std::string mPrefix;
    Timer mTimer;
  };

  /** Starts two endpoints of a version of the service hammer and promotes a
   *  document with a move to this version. */
  void StartMove(const std::string& aVersion,
                 const nlohmann::json& aDocument,
                 const std::vector<std::string>& aTargetArguments)
  {
    std::vector<NodePlan> plans = VersionPlans("hammer", aVersion, 2);
    for (NodePlan& plan : plans) {
      plan.mTargetArguments = aTargetArguments;
    }
    mCluster.StartAll(plans);
    const auto ready = WaitForReadyEndpoints(mCluster.NodeNames().size());
    mChecks.Check(ready.has_value(),
                  "endpoints of " + aVersion +
                    " are known to every node: " + FormatTime(ready));
    const auto version =
      mCluster.Promote(mCluster.NodeNames()[4], aDocument, mVersion);
    mChecks.Check(version.has_value(),
                  "the document with the move is accepted");
    mVersion = version.value_or(mVersion);
  }

  /** @return the state of the move of hammer that the nodes report, or "" if
   *    they report different states. */
  std::string MoveState()
  {
    std::set<std::string> states;
    for (const std::string& node : mCluster.NodeNames()) {
      const auto [status, body] = mCluster.Admin(node, "GET", "/v1/moves");
      if (status == 200 && !body["moves"].empty()) {
        states.insert(body["moves"][0]["state"].get<std::string>());
      }
    }
    return states.size() == 1 ? *states.begin() : std::string();
  }

  void MoveGoodVersion()
  {
    mChecks.Step("move hammer from v1 to v2 within 20 s");
    StartMove("v2", ReadJson(mSamples + "/rafiki-move.json"), {});
    BidSender bids(mCluster, "move-");
    const auto time = mCluster.WaitUntil(
      [&] { return MoveState() == "finished"; }, Seconds(25));
    bids.Finish();
    mChecks.Check(time && *time < Seconds(20),
                  "every node reports it finished: " + FormatTime(time));
    mChecks.Check(bids.mSucceeded == bids.mSent,
                  std::to_string(bids.mSucceeded) + " of " +
                    std::to_string(bids.mSent) +
                    " bids succeeded during the move");
    CheckNoKeyRanTwice();
  }

  void TakeBackBadVersion()
  {
    mChecks.Step("move hammer to v3, which fails every call");
    auto document = ReadJson(mSamples + "/rafiki-move.json");
    auto& hammer = document["services"][1];
    hammer["versions"] = { { { "name", "v2" }, { "share", 1000 } },
                           { { "name", "v3" }, { "share", 0 } } };
    hammer["move"]["to"] = "v3";
    StartMove("v3", document, { "--fault", "fail" });
    BidSender bids(mCluster, "bad-");
    const auto time = mCluster.WaitUntil(
      [&] { return MoveState() == "taken back"; }, Seconds(25));
    bids.Finish();
    mChecks.Check(time.has_value(),
                  "every node reports it taken back: " + FormatTime(time));
    const int lost = bids.mSent - bids.mSucceeded;
    mChecks.Check(lost <= 30,
                  std::to_string(lost) + " of " + std::to_string(bids.mSent) +
                    " bids failed on the faulty version");
  }

  void KillAndRestart()
  {
    mChecks.Step("kill two nodes with their targets and start them again");
    const std::vector<std::string> killedNodes{ mCluster.NodeNames()[0],
                                                mCluster.NodeNames()[8] };
    for (const std::string& node : killedNodes) {
      mCluster.NodeProcess(node).Kill();
      mCluster.TargetProcess(node).Kill();
    }
    const auto gone =
      WaitForReadyEndpoints(mCluster.NodeNames().size() - killedNodes.size());
    mChecks.Check(gone && *gone < Seconds(8),
                  "the other nodes stop routing to them: " + FormatTime(gone));
    for (const std::string& node : killedNodes) {
      const NodePlan plan = mCluster.Plan(node);
      mCluster.StartNode(plan);
      mCluster.StartTarget(plan);
    }
    const auto back = WaitForReadyEndpoints(mCluster.NodeNames().size());
    mChecks.Check(back.has_value(),
                  "their endpoints are ready again: " + FormatTime(back));
    const auto versions = mCluster.DocumentVersions();
    mChecks.Check(std::all_of(versions.begin(),
                              versions.end(),
                              [&](const auto& aEntry) {
                                return aEntry.second == mVersion;
                              }),
                  "every node has document version " +
                    std::to_string(mVersion));
  }

  void StopGracefully()
  {
    mChecks.Step("stop a node gracefully while its target handles calls");
    const std::string& stopped = mCluster.NodeNames()[2];
    int failed = 0;
    int calls = 0;
    int ended = 0;
    std::unique_ptr<Timer> sender;
    sender = std::make_unique<Timer>(mCluster.Loop(), [&] {
      const std::string& node =
        mCluster.NodeNames()[3 + static_cast<std::size_t>(calls) % 5];
      ++calls;
      mCluster.Client().Send(
        { .mAddress = mCluster.NodeProcess(node).Address("caller"),
          .mRequest = { .mPath = "/lots/x" } },
        [&](const HttpResult& aResult) {
          ++ended;
          failed += aResult.mResponse.mStatus == 200 ? 0 : 1;
        });
    });
    sender->StartRepeating({ 4 });
    mCluster.RunFor({ 300 });
    mCluster.NodeProcess(stopped).Signal(SIGTERM);
    mCluster.RunFor({ 1500 });
    sender->Stop();
    mCluster.WaitUntil([&] { return ended == calls; });
    mChecks.Check(failed == 0,
                  "of " + std::to_string(calls) + " calls, " +
                    std::to_string(failed) + " failed");
    const int code = mCluster.NodeProcess(stopped).Terminate();
    mChecks.Check(code == 0, "the node stopped with exit code 0");
    mCluster.TargetProcess(stopped).Terminate();
    const NodePlan plan = mCluster.Plan(stopped);
    mCluster.StartNode(plan);
    mCluster.StartTarget(plan);
    mChecks.Check(
      WaitForReadyEndpoints(mCluster.NodeNames().size()).has_value(),
      "its replacement is in service");
  }

  void SimulatePlatformOutage()
  {
    mChecks.Step("simulate an outage of the platform");
    mCluster.SetPlatformFaults({ { "outage", true } });
    const HttpResult bid = Bid(mCluster.NodeNames()[4], "bid-in-outage");
    mChecks.Check(bid.mResponse.mStatus == 200, "bids still succeed");
    const auto [status, body] =
      mCluster.Admin(mCluster.NodeNames()[4],
                     "POST",
                     "/v1/promote",
                     { { "environment", "production" },
                       { "parent", mVersion },
                       { "document", ReadJson(mSamples + "/rafiki.json") } });
    mChecks.Check(status == 503, "a promotion is refused with status 503");
    const NodePlan plan = mCluster.Plan(mCluster.NodeNames()[5]);
    mCluster.NodeProcess(plan.mName).Kill();
    mCluster.StartNode(plan);
    const auto time = WaitForVersion(mVersion);
    const auto [code, node] = mCluster.Admin(plan.mName, "GET", "/v1/status");
    mChecks.Check(
      time && code == 200 && node["recovered_from"] == "neighbour",
      "a node that starts during the outage gets its document from a "
      "neighbour: " +
        FormatTime(time));
    mCluster.SetPlatformFaults({ { "outage", false } });
    mCluster.TargetProcess(plan.mName).Terminate();
    mCluster.StartTarget(plan);
  }

  void ShowTimeline()
  {
    mChecks.Step("read the timelines of all nodes");
    std::size_t applied = 0;
    for (const std::string& node : mCluster.NodeNames()) {
      const auto [status, body] = mCluster.Admin(node, "GET", "/v1/timeline");
      if (status != 200) {
        continue;
      }
      for (const auto& event : body["events"]) {
        applied += event["kind"] == "document-applied" ? 1 : 0;
      }
    }
    mChecks.Check(applied >= mCluster.NodeNames().size(),
                  std::to_string(applied) +
                    " events record that a node applied a document");
  }

  Cluster mCluster;
  std::string mSamples;
  Checks& mChecks;
  std::uint64_t mVersion = 0;
};

} // namespace

void
RunDemo(const std::string& aPrograms,
        const std::string& aSamples,
        Checks& aChecks)
{
  Demo(aPrograms, aSamples, aChecks).Run();
}

} // namespace papayaway
