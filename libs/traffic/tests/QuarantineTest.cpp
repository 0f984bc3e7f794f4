#include <traffic/Quarantine.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <base/Random.h>

namespace papayaway {
namespace {

constexpr const char* kPoison = "poison";

/** Nodes that run innocent requests and one that crashes its target. Each
 *  request is sent again until it ran or is refused for good. */
class CrashingCluster
{
public:
  /** @param aLoss the share of reports between nodes that are lost. */
  CrashingCluster(std::uint64_t aSeed, int aNodes, int aInnocents, double aLoss)
    : mRandom(aSeed)
    , mNodes(aNodes)
    , mLoss(aLoss)
  {
    mWaiting.emplace_back(kPoison);
    for (int i = 0; i < aInnocents; ++i) {
      mWaiting.push_back("innocent-" + std::to_string(i));
    }
  }

  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      mNow += { 500 * UniformFraction(mRandom) };
      if (UniformBelow(mRandom, 2) == 0) {
        SendOne();
      } else {
        EndOne(UniformBelow(mRandom, mNodes.size()));
      }
    }
  }

  int mCrashCount = 0;
  bool mPoisonRefused = false;
  int mInnocentRuns = 0;
  bool mInnocentQuarantined = false;

private:
  struct Node
  {
    Quarantine mQuarantine;
    std::vector<std::string> mInFlight;
  };

  void SendOne()
  {
    if (mWaiting.empty()) {
      return;
    }
    std::swap(mWaiting[UniformBelow(mRandom, mWaiting.size())],
              mWaiting.back());
    Node& node = mNodes[UniformBelow(mRandom, mNodes.size())];
    const std::string request = mWaiting.back();
    const QuarantineVerdict verdict =
      node.mQuarantine.Check(request, node.mInFlight, mNow);
    if (verdict == QuarantineVerdict::Refuse) {
      mPoisonRefused = mPoisonRefused || request == kPoison;
      mInnocentQuarantined = mInnocentQuarantined || request != kPoison;
      mWaiting.pop_back();
    } else if (verdict == QuarantineVerdict::Run && node.mInFlight.size() < 4) {
      node.mInFlight.push_back(request);
      mWaiting.pop_back();
    }
  }

  void EndOne(std::size_t aNode)
  {
    std::vector<std::string>& inFlight = mNodes[aNode].mInFlight;
    if (inFlight.empty()) {
      return;
    }
    std::swap(inFlight[UniformBelow(mRandom, inFlight.size())],
              inFlight.back());
    if (inFlight.back() == kPoison) {
      const CrashReport report{ "crash-" + std::to_string(++mCrashCount),
                                "hammer",
                                inFlight };
      mWaiting.insert(mWaiting.end(), inFlight.begin(), inFlight.end());
      inFlight.clear();
      Tell(aNode,
           [&](Quarantine& aSide) { return aSide.OnCrash(report, mNow); });
    } else {
      const std::string ran = inFlight.back();
      inFlight.pop_back();
      ++mInnocentRuns;
      Tell(aNode, [&](Quarantine& aSide) { return aSide.OnRan(ran, mNow); });
    }
  }

  /** Does aChange at the node itself and at those the report reaches. */
  template<typename Change>
  void Tell(std::size_t aFrom, Change aChange)
  {
    std::vector<QuarantineFact> facts;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (i == aFrom || UniformFraction(mRandom) >= mLoss) {
        const auto found = aChange(mNodes[i].mQuarantine);
        facts.insert(facts.end(), found.begin(), found.end());
      }
    }
    for (const QuarantineFact& fact : facts) {
      mInnocentQuarantined =
        mInnocentQuarantined || fact.mFingerprint != kPoison;
      for (Node& node : mNodes) {
        node.mQuarantine.OnFact(fact, mNow);
      }
    }
  }

  Random mRandom;
  std::vector<Node> mNodes;
  double mLoss;
  std::vector<std::string> mWaiting;
  Millis mNow = Seconds(1e9);
};

// Guards against a request that goes on crashing targets, and against
// refusing the requests that ran beside it.
RC_GTEST_PROP(Quarantine, StopsPoisonAfterThreeCrashesAndSparesInnocents, ())
{
  const int innocents = *rc::gen::inRange(0, 40);
  CrashingCluster cluster(*rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::inRange(1, 8),
                          innocents,
                          0);
  cluster.Run(2000);
  RC_ASSERT(cluster.mPoisonRefused);
  RC_ASSERT(cluster.mCrashCount <= 3);
  RC_ASSERT(!cluster.mInnocentQuarantined);
  RC_ASSERT(cluster.mInnocentRuns == innocents);
}

// Guards against lost reports turning suspicion on an innocent request.
RC_GTEST_PROP(Quarantine, SparesInnocentsWhenReportsAreLost, ())
{
  CrashingCluster cluster(
    *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(2, 8), 30, 0.5);
  cluster.Run(2000);
  RC_ASSERT(!cluster.mInnocentQuarantined);
}

// Guards against a quarantine without end, a release that does not stick, and
// a second quarantine that loses against the released fact.
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

// Guards against two suspects in one target: a second crash would not tell
// which of them is guilty.
TEST(Quarantine, KeepsSuspectsApart)
{
  Quarantine quarantine;
  const Millis now = Seconds(1000);
  (void)quarantine.OnCrash({ "1", "hammer", { "p", "i" } }, now);
  const std::vector<std::string> beside{ "fresh", "i" };
  EXPECT_EQ(quarantine.Check("p", beside, now), QuarantineVerdict::Apart);
  EXPECT_EQ(quarantine.Check("new", beside, now), QuarantineVerdict::Run);
  EXPECT_TRUE(quarantine.OnRan("i", now).empty());
  EXPECT_EQ(quarantine.Check("p", beside, now), QuarantineVerdict::Run);
}

// Guards against a request that crashes targets for ever because the callers
// of those beside it gave up, and against running it while the others are
// still being run to an end.
TEST(Quarantine, ConvictsByCommonCrashesWhenOthersAreNotSentAgain)
{
  Quarantine quarantine;
  Millis now = Seconds(1000);
  EXPECT_TRUE(quarantine.OnCrash({ "1", "s", { "p", "a" } }, now).empty());
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineVerdict::Run);
  EXPECT_TRUE(quarantine.OnCrash({ "2", "s", { "p", "b" } }, now).empty());
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineVerdict::Hold);
  now += Quarantine::kHold;
  EXPECT_EQ(quarantine.Check("p", {}, now), QuarantineVerdict::Run);
  const auto facts = quarantine.OnCrash({ "3", "s", { "p", "c" } }, now);
  ASSERT_EQ(facts.size(), 1U);
  EXPECT_EQ(facts[0].mFingerprint, "p");
  EXPECT_FALSE(quarantine.IsSuspect("c"));
  EXPECT_TRUE(quarantine.OnCrash({ "4", "s", { "p", "d" } }, now).empty());
  EXPECT_FALSE(quarantine.IsSuspect("d"));
}

// Guards against evidence that grows without bound or is kept for ever.
TEST(Quarantine, BoundsEvidence)
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

// Guards against requests that share a fingerprint: one poison request would
// block its whole route.
TEST(Quarantine, FingerprintsTellRequestsApart)
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
