#include <traffic/Quarantine.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <base/Random.h>

namespace papayaway {
namespace {

constexpr const char* kCrashingRequest = "crashing";

/**
 * Simulates nodes that run harmless requests and one request that crashes every
 * target that runs it. Each request is retried until it has run or is refused
 * as quarantined.
 */
class CrashingCluster
{
public:
  /** @param aReportLoss the fraction of reports between nodes that are lost. */
  CrashingCluster(std::uint64_t aSeed,
                  int aNodes,
                  int aHarmlessRequests,
                  double aReportLoss)
    : mRandom(aSeed)
    , mNodes(aNodes)
    , mReportLoss(aReportLoss)
  {
    mWaiting.emplace_back(kCrashingRequest);
    for (int i = 0; i < aHarmlessRequests; ++i) {
      mWaiting.push_back("harmless-" + std::to_string(i));
    }
  }

  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      mNow += { 500 * UniformFraction(mRandom) };
      if (UniformBelow(mRandom, 2) == 0) {
        SendRequest();
      } else {
        EndRequest(UniformBelow(mRandom, mNodes.size()));
      }
    }
  }

  int mCrashCount = 0;
  bool mCrashingRequestRefused = false;
  int mHarmlessRuns = 0;
  bool mHarmlessQuarantined = false;

private:
  struct Node
  {
    Quarantine mQuarantine;
    std::vector<std::string> mInFlight;
  };

  void SendRequest()
  {
    if (mWaiting.empty()) {
      return;
    }
    std::swap(mWaiting[UniformBelow(mRandom, mWaiting.size())],
              mWaiting.back());
    Node& node = mNodes[UniformBelow(mRandom, mNodes.size())];
    const std::string request = mWaiting.back();
    const QuarantineDecision decision =
      node.mQuarantine.Check(request, node.mInFlight, mNow);
    if (decision == QuarantineDecision::Refuse) {
      mCrashingRequestRefused =
        mCrashingRequestRefused || request == kCrashingRequest;
      mHarmlessQuarantined =
        mHarmlessQuarantined || request != kCrashingRequest;
      mWaiting.pop_back();
    } else if (decision == QuarantineDecision::Run &&
               node.mInFlight.size() < 4) {
      node.mInFlight.push_back(request);
      mWaiting.pop_back();
    }
  }

  void EndRequest(std::size_t aNode)
  {
    std::vector<std::string>& inFlight = mNodes[aNode].mInFlight;
    if (inFlight.empty()) {
      return;
    }
    std::swap(inFlight[UniformBelow(mRandom, inFlight.size())],
              inFlight.back());
    if (inFlight.back() == kCrashingRequest) {
      const CrashReport report{ "crash-" + std::to_string(++mCrashCount),
                                "hammer",
                                inFlight };
      mWaiting.insert(mWaiting.end(), inFlight.begin(), inFlight.end());
      inFlight.clear();
      Broadcast(aNode, [&](Quarantine& aQuarantine) {
        return aQuarantine.OnCrash(report, mNow);
      });
    } else {
      const std::string ran = inFlight.back();
      inFlight.pop_back();
      ++mHarmlessRuns;
      Broadcast(aNode, [&](Quarantine& aQuarantine) {
        return aQuarantine.OnRan(ran, mNow);
      });
    }
  }

  /** Applies aUpdate at node aFrom and at every node that its report reaches,
   *  and the resulting facts at all nodes. */
  template<typename Update>
  void Broadcast(std::size_t aFrom, Update aUpdate)
  {
    std::vector<QuarantineFact> facts;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (i == aFrom || UniformFraction(mRandom) >= mReportLoss) {
        const auto found = aUpdate(mNodes[i].mQuarantine);
        facts.insert(facts.end(), found.begin(), found.end());
      }
    }
    for (const QuarantineFact& fact : facts) {
      mHarmlessQuarantined =
        mHarmlessQuarantined || fact.mFingerprint != kCrashingRequest;
      for (Node& node : mNodes) {
        node.mQuarantine.OnFact(fact, mNow);
      }
    }
  }

  Random mRandom;
  std::vector<Node> mNodes;
  double mReportLoss;
  std::vector<std::string> mWaiting;
  Millis mNow = Seconds(1e9);
};

// Guards against a request that goes on crashing targets, and against
// quarantining requests that were in flight together with it.
RC_GTEST_PROP(Quarantine, QuarantinesOnlyCrashingRequestWithinThreeCrashes, ())
{
  const int harmlessRequests = *rc::gen::inRange(0, 40);
  CrashingCluster cluster(*rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::inRange(1, 8),
                          harmlessRequests,
                          0);
  cluster.Run(2000);
  RC_ASSERT(cluster.mCrashingRequestRefused);
  RC_ASSERT(cluster.mCrashCount <= 3);
  RC_ASSERT(!cluster.mHarmlessQuarantined);
  RC_ASSERT(cluster.mHarmlessRuns == harmlessRequests);
}

// Guards against quarantining a harmless request because reports were lost.
RC_GTEST_PROP(Quarantine,
              NeverQuarantinesHarmlessRequestsWhenReportsAreLost,
              ())
{
  CrashingCluster cluster(
    *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(2, 8), 30, 0.5);
  cluster.Run(2000);
  RC_ASSERT(!cluster.mHarmlessQuarantined);
}

// Guards against a quarantine that does not expire, a release that an older
// fact undoes, and a second quarantine that other nodes ignore because its
// sequence number is not above that of the release.
TEST(Quarantine, ExpiresAndIsReleased)
{
  Quarantine quarantine;
  Millis now = Seconds(1000);
  EXPECT_TRUE(quarantine.OnCrash({ "1", "hammer", { "p" } }, now).empty());
  EXPECT_TRUE(quarantine.OnCrash({ "1", "hammer", { "p" } }, now).empty());
  const auto facts = quarantine.OnCrash({ "2", "hammer", { "p" } }, now);
  ASSERT_EQ(facts.size(), 1U);
  EXPECT_EQ(facts[0].mService, "hammer");
  EXPECT_TRUE(quarantine.IsQuarantined("p", now + Seconds(599)));
  EXPECT_FALSE(quarantine.IsQuarantined("p", now + Seconds(600)));

  const auto released = quarantine.Release("p", now);
  ASSERT_TRUE(released);
  quarantine.OnFact(facts[0], now);
  EXPECT_FALSE(quarantine.IsQuarantined("p", now));
  EXPECT_FALSE(quarantine.IsSuspect("p"));
  EXPECT_FALSE(quarantine.Release("p", now));

  (void)quarantine.OnCrash({ "3", "hammer", { "p" } }, now);
  const auto again = quarantine.OnCrash({ "4", "hammer", { "p" } }, now);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_GT(again[0].mSequence, released->mSequence);
}

// Guards against running two suspects in one target at the same time: a second
// crash could not be attributed to one of them.
TEST(Quarantine, IsolatesSuspects)
{
  Quarantine quarantine;
  const Millis now = Seconds(1000);
  (void)quarantine.OnCrash({ "1", "hammer", { "p", "i" } }, now);
  const std::vector<std::string> inFlight{ "fresh", "i" };
  EXPECT_EQ(quarantine.Check("p", inFlight, now), QuarantineDecision::Isolate);
  EXPECT_EQ(quarantine.Check("new", inFlight, now), QuarantineDecision::Run);
  EXPECT_TRUE(quarantine.OnRan("i", now).empty());
  EXPECT_EQ(quarantine.Check("p", inFlight, now), QuarantineDecision::Run);
}

// Guards against a request that is never quarantined because the other requests
// in flight at its crashes are not retried and so remain suspects. Also guards
// against running it before the retries of the others had time to run.
TEST(Quarantine, QuarantinesByCommonCrashesWhenOthersAreNotRetried)
{
  Quarantine quarantine;
  Millis now = Seconds(1000);
  EXPECT_TRUE(quarantine.OnCrash({ "1", "s", { "p", "a" } }, now).empty());
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineDecision::Run);
  EXPECT_TRUE(quarantine.OnCrash({ "2", "s", { "p", "b" } }, now).empty());
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineDecision::Defer);
  now += Quarantine::kDeferDuration;
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineDecision::Run);
  const auto facts = quarantine.OnCrash({ "3", "s", { "p", "c" } }, now);
  ASSERT_EQ(facts.size(), 1U);
  EXPECT_EQ(facts[0].mFingerprint, "p");
  EXPECT_FALSE(quarantine.IsSuspect("c"));
  EXPECT_TRUE(quarantine.OnCrash({ "4", "s", { "p", "d" } }, now).empty());
  EXPECT_FALSE(quarantine.IsSuspect("d"));
}

// Guards against crash records that grow without bound or never expire.
TEST(Quarantine, BoundsAndExpiresCrashes)
{
  Quarantine quarantine;
  const Millis now = Seconds(1000);
  for (std::size_t i = 0; i <= Quarantine::kMaxCrashes; ++i) {
    const std::string name = std::to_string(i);
    (void)quarantine.OnCrash({ name, "hammer", { name, "x" + name } }, now);
  }
  EXPECT_FALSE(quarantine.IsSuspect("0"));
  EXPECT_TRUE(quarantine.IsSuspect("1"));
  quarantine.OnTick(now + Seconds(601));
  EXPECT_FALSE(quarantine.IsSuspect("1"));
}

// Guards against different requests with the same fingerprint: the quarantine
// of one would block the others. Requests with the same idempotency key share
// a fingerprint.
TEST(Quarantine, FingerprintsDistinguishRequests)
{
  const RequestIdentity base{
    .mService = "s", .mRoute = "/r", .mMethod = "GET", .mPath = "/r/1"
  };
  RequestIdentity other = base;
  other.mPath = "/r/2";
  EXPECT_NE(RequestFingerprint(base), RequestFingerprint(other));
  RequestIdentity moved = base;
  moved.mMethod = "GE";
  moved.mPath = "T/r/1";
  EXPECT_NE(RequestFingerprint(base), RequestFingerprint(moved));
  RequestIdentity keyed = base;
  keyed.mKey = "k";
  RequestIdentity repeated = keyed;
  repeated.mPath = "/r/1?retry";
  EXPECT_EQ(RequestFingerprint(keyed), RequestFingerprint(repeated));
}

} // namespace
} // namespace papayaway
