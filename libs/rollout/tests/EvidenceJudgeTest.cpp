#include <rollout/EvidenceJudge.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

class EvidenceJudgeTest : public testing::Test
{
protected:
  void Add(const std::string& aVersion,
           std::uint64_t aCalls,
           std::uint64_t aFailures,
           double aLatency = 5)
  {
    const auto calls = static_cast<double>(aCalls);
    mWindow.Add({ .mService = "s",
                  .mVersion = aVersion,
                  .mRoute = "/a",
                  .mCalls = aCalls,
                  .mFailures = aFailures,
                  .mLatencySum = aLatency * calls,
                  .mLatencySquareSum = 1.04 * aLatency * aLatency * calls },
                "dc",
                mNow);
  }

  Judgement Judge() const
  {
    return EvidenceJudge()
      .Judge(mWindow,
             { .mService = "s",
               .mNew = "v2",
               .mOld = { "v1" },
               .mRoutes = { "/a" } })
      .mJudgement;
  }

  Millis mNow = Seconds(100);
  EvidenceWindow mWindow;
};

// Guards against needing many calls for a clear fault, and against calling
// two failures proof.
TEST_F(EvidenceJudgeTest, ThreeFailuresInARowAreBadWhenOldIsWell)
{
  Add("v1", 2000, 0);
  Add("v2", 2, 2);
  EXPECT_EQ(Judge(), Judgement::NotEnough);
  Add("v2", 1, 1);
  EXPECT_EQ(Judge(), Judgement::Bad);
}

// Guards against blaming the new version for an outage of something that
// both versions need.
TEST_F(EvidenceJudgeTest, SharedOutageIsNotBad)
{
  Add("v1", 5000, 5);
  mNow += Seconds(30);
  Add("v1", 20, 18);
  Add("v2", 20, 18);
  mNow += Seconds(30);
  Add("v1", 5000, 5);
  Add("v2", 200, 0);
  EXPECT_NE(Judge(), Judgement::Bad);
}

// Guards against a single slow call or a cold start being called a fault.
TEST_F(EvidenceJudgeTest, SlownessMustLast)
{
  for (int i = 0; i < 10; ++i, mNow += Seconds(1)) {
    Add("v1", 20, 0);
    Add("v2", 5, 0, i == 0 ? 500 : 5);
  }
  EXPECT_EQ(Judge(), Judgement::Good);
  for (int i = 0; i < 3; ++i, mNow += Seconds(1)) {
    Add("v2", 5, 0, 20);
  }
  EXPECT_EQ(Judge(), Judgement::Bad);
}

// Guards against memory that grows with time.
TEST_F(EvidenceJudgeTest, WindowIsBounded)
{
  for (int i = 0; i < 500; ++i, mNow += Seconds(1)) {
    Add("v1", 1, 0);
  }
  const EvidenceWindow::Cell& cell = mWindow.Find("s", "v1", "/a", "dc");
  EXPECT_LE(cell.size(), EvidenceWindow::Options{}.mMaxBuckets);
  std::uint64_t calls = 0;
  for (const EvidenceBucket& bucket : cell) {
    calls += bucket.mCalls;
  }
  EXPECT_EQ(calls, 500U);
}

} // namespace
} // namespace papayaway
