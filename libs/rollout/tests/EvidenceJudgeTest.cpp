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
               .mNewVersion = "v2",
               .mOldVersions = { "v1" },
               .mRoutes = { "/a" } })
      .mJudgement;
  }

  Millis mNow = Seconds(100);
  EvidenceWindow mWindow;
};

// Guards against a judge that needs many calls to detect a version that always
// fails, and against one that detects a fault from two failures.
TEST_F(EvidenceJudgeTest, ThreeFailuresInARowProveFaultIfOldVersionIsHealthy)
{
  Add("v1", 2000, 0);
  Add("v2", 2, 2);
  EXPECT_EQ(Judge(), Judgement::InsufficientEvidence);
  Add("v2", 1, 1);
  EXPECT_EQ(Judge(), Judgement::Faulty);
}

// Guards against judging the new version as faulty because a dependency of
// both versions has an outage.
TEST_F(EvidenceJudgeTest, SharedOutageIsNoFault)
{
  Add("v1", 5000, 5);
  mNow += Seconds(30);
  Add("v1", 20, 18);
  Add("v2", 20, 18);
  mNow += Seconds(30);
  Add("v1", 5000, 5);
  Add("v2", 200, 0);
  EXPECT_NE(Judge(), Judgement::Faulty);
}

// Guards against taking a single slow call or a cold start for a fault.
TEST_F(EvidenceJudgeTest, SlownessIsFaultOnlyIfItLasts)
{
  for (int i = 0; i < 10; ++i, mNow += Seconds(1)) {
    Add("v1", 20, 0);
    Add("v2", 5, 0, i == 0 ? 500 : 5);
  }
  EXPECT_EQ(Judge(), Judgement::Healthy);
  for (int i = 0; i < 3; ++i, mNow += Seconds(1)) {
    Add("v2", 5, 0, 20);
  }
  EXPECT_EQ(Judge(), Judgement::Faulty);
}

// Guards against a series whose memory grows with the running time, and
// against merging that loses calls.
TEST_F(EvidenceJudgeTest, BucketsPerSeriesAreBounded)
{
  for (int i = 0; i < 500; ++i, mNow += Seconds(1)) {
    Add("v1", 1, 0);
  }
  const EvidenceWindow::Series& series = mWindow.Find("s", "v1", "/a", "dc");
  EXPECT_LE(series.size(), EvidenceWindow::Options{}.mMaxBuckets);
  std::uint64_t calls = 0;
  for (const EvidenceBucket& bucket : series) {
    calls += bucket.mCalls;
  }
  EXPECT_EQ(calls, 500U);
}

} // namespace
} // namespace papayaway
