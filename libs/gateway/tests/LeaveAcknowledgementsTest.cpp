#include <gateway/LeaveAcknowledgements.h>

#include <optional>

#include <gtest/gtest.h>

namespace papayaway::gateway {
namespace {

class LeaveAcknowledgementsTest : public ::testing::Test
{
protected:
  void Wait(std::size_t aOthers)
  {
    mAcknowledgements.Wait(
      5, aOthers, Millis{ 1000 }, [this](bool aKept) { mKept = aKept; });
  }

  LeaveAcknowledgements mAcknowledgements;
  std::optional<bool> mKept;
};

// Guards against an acknowledgement of a leave that the next process of the
// node can't know of (review 8).
TEST_F(LeaveAcknowledgementsTest, WaitsForTheStore)
{
  Wait(5);
  mAcknowledgements.OnStored(4);
  mAcknowledgements.OnCopied("a", 5);
  mAcknowledgements.OnCopied("b", 5);
  EXPECT_FALSE(mKept);
  mAcknowledgements.OnStored(6);
  EXPECT_EQ(mKept, true);
}

// Guards against leaves without an acknowledgement while the store is down, and
// against one that only a single other node knows of.
TEST_F(LeaveAcknowledgementsTest, CopiesSufficeIfTheStoreFails)
{
  Wait(5);
  mAcknowledgements.OnStoreFailed();
  mAcknowledgements.OnCopied("a", 5);
  mAcknowledgements.OnCopied("a", 6);
  mAcknowledgements.OnCopied("b", 4);
  EXPECT_FALSE(mKept);
  mAcknowledgements.OnCopied("b", 5);
  EXPECT_EQ(mKept, true);
}

TEST_F(LeaveAcknowledgementsTest, CopiesSufficeIfTheStoreIsLate)
{
  Wait(1);
  mAcknowledgements.OnCopied("a", 5);
  mAcknowledgements.OnTick(Millis{ 1500 });
  EXPECT_FALSE(mKept);
  mAcknowledgements.OnTick(Millis{ 1600 });
  EXPECT_EQ(mKept, true);
}

TEST_F(LeaveAcknowledgementsTest, LeaveThatNothingKeepsIsRefused)
{
  Wait(0);
  mAcknowledgements.OnStoreFailed();
  mAcknowledgements.OnTick(Millis{ 1899 });
  EXPECT_FALSE(mKept);
  mAcknowledgements.OnTick(Millis{ 1900 });
  EXPECT_EQ(mKept, false);
}

} // namespace
} // namespace papayaway::gateway
