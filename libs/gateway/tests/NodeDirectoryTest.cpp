#include <gateway/NodeDirectory.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::gateway {
namespace {

// Guards against an older record that arrives late and restores a target that
// has stopped.
TEST(NodeDirectory, OlderRecordDoesNotReplaceANewerOne)
{
  const NodeRecord first{
    .mNode = "n", .mPeerAddress = "a:1", .mIncarnation = 1, .mSequence = 9
  };
  const NodeRecord second{
    .mNode = "n", .mPeerAddress = "a:1", .mIncarnation = 2, .mSequence = 1
  };
  NodeDirectory directory;
  EXPECT_TRUE(directory.Merge(second));
  EXPECT_FALSE(directory.Merge(first));
  EXPECT_FALSE(directory.Merge(second));
  EXPECT_EQ(directory.Find("n")->mIncarnation, 2U);
}

// Guards against a billed store write by each node that restarts unchanged.
TEST(NodeRecord, RestartAloneDoesNotChangeTheContent)
{
  const NodeRecord before{
    .mNode = "n", .mPeerAddress = "a:1", .mIncarnation = 1, .mSequence = 9
  };
  NodeRecord after = before;
  after.mIncarnation = 2;
  after.mSequence = 1;
  EXPECT_TRUE(after.HasSameContent(before));
  after.mTarget = TargetInfo{ .mId = "t", .mState = TargetState::Ready };
  EXPECT_FALSE(after.HasSameContent(before));
}

// Guards against a node that connects to itself and receives its own messages.
// This happens if the store still has the record of a removed node that had the
// same address.
TEST(NodeDirectory, LaterNodeReplacesAnotherNodeWithTheSameAddress)
{
  const NodeRecord departed{ .mNode = "old",
                             .mPeerAddress = "a:1",
                             .mIncarnation = 1 };
  const NodeRecord successor{ .mNode = "new",
                              .mPeerAddress = "a:1",
                              .mIncarnation = 5 };
  NodeDirectory directory;
  EXPECT_TRUE(directory.Merge(departed));
  EXPECT_TRUE(directory.Merge(successor));
  EXPECT_EQ(directory.Find("old"), nullptr);
  EXPECT_FALSE(directory.Merge(departed));
  EXPECT_NE(directory.Find("new"), nullptr);
}

// Guards against groups that still contain a node which has left, moved or lost
// its target, so that it would get requests or links.
RC_GTEST_PROP(NodeDirectoryProperty, GroupsMatchTheRecordsAfterAnyMerges, ())
{
  NodeDirectory directory;
  const int merges = *rc::gen::inRange(1, 60);
  for (int i = 0; i < merges; ++i) {
    const int node = *rc::gen::inRange(0, 6);
    NodeRecord record{ .mNode = "node-with-a-long-name-" + std::to_string(node),
                       .mDataCentre =
                         "dc-" + std::to_string(*rc::gen::inRange(0, 3)),
                       .mPeerAddress =
                         "a:" + std::to_string(*rc::gen::inRange(0, 8)),
                       .mIncarnation = *rc::gen::inRange<std::uint64_t>(0, 5),
                       .mSequence = *rc::gen::inRange<std::uint64_t>(0, 20),
                       .mLeaving = *rc::gen::arbitrary<bool>() };
    if (*rc::gen::arbitrary<bool>()) {
      record.mTarget =
        TargetInfo{ .mId = "t",
                    .mService = "s" + std::to_string(*rc::gen::inRange(0, 2)),
                    .mState = *rc::gen::element(TargetState::Ready,
                                                TargetState::Draining) };
    }
    directory.Merge(record);
  }
  std::size_t remaining = 0;
  for (const auto& [name, dataCentre] : directory.DataCentres()) {
    remaining += dataCentre.mNodes.size();
    RC_ASSERT(!dataCentre.mNodes.empty());
  }
  for (const char* service : { "s0", "s1" }) {
    remaining += directory.ReadyFor(service).size();
  }
  for (const auto& [node, record] : directory.All()) {
    const NodeGroup& group = directory.InDataCentre(record.mDataCentre);
    const auto inGroup = group.find(node);
    RC_ASSERT((inGroup != group.end()) == !record.mLeaving);
    if (inGroup != group.end()) {
      RC_ASSERT(inGroup->second == &record);
    }
    remaining -= inGroup != group.end() ? 1 : 0;
    const bool ready = !record.mLeaving && record.mTarget &&
                       record.mTarget->mState == TargetState::Ready;
    if (record.mTarget) {
      const NodeGroup& targets = directory.ReadyFor(record.mTarget->mService);
      RC_ASSERT((targets.find(node) != targets.end()) == ready);
      remaining -= ready ? 1 : 0;
    }
  }
  RC_ASSERT(remaining == 0U);
}

// Guards against links that are rebuilt for each change of a target, which
// costs the square of the number of nodes when all targets start.
TEST(NodeDirectory, ChangeOfATargetIsNoChangeOfMembership)
{
  NodeDirectory directory;
  NodeRecord record{ .mNode = "n", .mPeerAddress = "a:1", .mSequence = 1 };
  directory.Merge(record);
  const std::uint64_t joined = directory.MembershipVersion();
  record.mSequence = 2;
  record.mTarget = TargetInfo{ .mId = "t", .mState = TargetState::Ready };
  directory.Merge(record);
  EXPECT_EQ(directory.MembershipVersion(), joined);
  record.mSequence = 3;
  record.mLeaving = true;
  directory.Merge(record);
  EXPECT_GT(directory.MembershipVersion(), joined);
}

} // namespace
} // namespace papayaway::gateway
