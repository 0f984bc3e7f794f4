#include "PeerLinks.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <lab/LoopWait.h>
#include <net/EventLoop.h>

namespace papayaway {
namespace {

/** The PeerLinks of one node, with counts of the callbacks it received. */
struct Peer
{
  Peer(EventLoop& aLoop, const std::string& aName)
    : mContext(aLoop,
               { .mName = aName,
                 .mDataCentre = "nbo-1",
                 .mRegion = "nairobi",
                 .mPeerAddress = "127.0.0.1:0",
                 .mPeerKey = "a-key-of-the-test" })
    , mLinks(mContext,
             { .mOpened = [](const LinkInfo&) {},
               .mLost = [this](const LinkInfo&) { ++mLost; },
               .mLeftMesh = [this](const LinkInfo&) { ++mLeft; },
               .mMessage =
                 [this](const LinkInfo& aLink, const Message& aMessage) {
                   if (std::holds_alternative<Call>(aMessage)) {
                     mLastCallLink = aLink.mId;
                     mCallIds.push_back(std::get<Call>(aMessage).mId);
                   } else if (std::holds_alternative<Reply>(aMessage)) {
                     ++mReplies;
                   }
                 } })
  {
  }

  NodeContext mContext;
  PeerLinks mLinks;
  int mLost = 0;
  int mLeft = 0;
  int mReplies = 0;
  /** The ids of the calls received, in order. */
  std::vector<std::uint64_t> mCallIds;
  /** The link on which the last call was received. */
  std::optional<LinkId> mLastCallLink;
};

class PeerLinksTest : public testing::Test
{
protected:
  bool RunUntil(const std::function<bool()>& aDone, Millis aLimit)
  {
    return papayaway::RunUntil(mLoop, aDone, aLimit);
  }

  /** Opens a mesh link from the first node to the second one. */
  void Connect()
  {
    ASSERT_TRUE(mOne.mLinks.Listen());
    const auto address = mTwo.mLinks.Listen();
    ASSERT_TRUE(address);
    mAddressOfTwo = *address;
    mOne.mLinks.SetMeshPeers({ { "two", mAddressOfTwo } });
    ASSERT_TRUE(
      RunUntil([&] { return mTwo.mLinks.IsLinked("one"); }, Seconds(5)));
  }

  EventLoop mLoop;
  Peer mOne{ mLoop, "one" };
  Peer mTwo{ mLoop, "two" };
  std::string mAddressOfTwo;
};

// Guards against calls that are lost when the choice of mesh links changes: a
// link that is no longer wanted must stay open for the calls of both sides.
// When such links were closed, MoveFailure.GoodVersionFinishes got one 502 in
// 3008 requests, 5 s after nodes joined.
TEST_F(PeerLinksTest, UnwantedMeshLinkKeepsItsCalls)
{
  ASSERT_NO_FATAL_FAILURE(Connect());
  ASSERT_NE(mOne.mLinks.SendToNode("two", "", Call{ .mId = 1 }), 0U);
  ASSERT_NE(mTwo.mLinks.SendToNode("one", "", Call{ .mId = 2 }), 0U);
  ASSERT_TRUE(RunUntil([&] { return mOne.mLastCallLink && mTwo.mLastCallLink; },
                       Seconds(5)));

  mOne.mLinks.SetMeshPeers({});
  ASSERT_TRUE(RunUntil(
    [&] { return mOne.mLost + mTwo.mLost > 0 || mOne.mLeft + mTwo.mLeft == 2; },
    Seconds(15)));
  EXPECT_EQ(mOne.mLost, 0);
  EXPECT_EQ(mTwo.mLost, 0);
  EXPECT_TRUE(mOne.mLinks.MeshLinks().empty());
  EXPECT_TRUE(mTwo.mLinks.MeshLinks().empty());
  EXPECT_TRUE(mTwo.mLinks.Send(*mTwo.mLastCallLink, Reply{ .mId = 1 }));
  EXPECT_TRUE(mOne.mLinks.Send(*mOne.mLastCallLink, Reply{ .mId = 2 }));
  EXPECT_TRUE(RunUntil([&] { return mOne.mReplies == 1 && mTwo.mReplies == 1; },
                       Seconds(5)));
}

// Guards against a call that is sent to a target although its caller left while
// the link was opening: the cancellation was dropped and the call stayed
// queued.
TEST_F(PeerLinksTest, CallCancelledWhileItsLinkOpensIsNotSent)
{
  const auto address = mTwo.mLinks.Listen();
  ASSERT_TRUE(address);
  const LinkId link = mOne.mLinks.SendToNode("two", *address, Call{ .mId = 1 });
  mOne.mLinks.SendToNode("two", *address, Call{ .mId = 2 });
  mOne.mLinks.Send(link, Cancel{ .mId = 1 });
  ASSERT_TRUE(RunUntil(
    [&] { return !mTwo.mCallIds.empty() && mTwo.mCallIds.back() == 2; },
    Seconds(5)));
  EXPECT_EQ(mTwo.mCallIds.size(), 1U);
}

// Guards against a link that has left the mesh and prevents a new mesh link to
// the same node.
TEST_F(PeerLinksTest, MeshLinkIsOpenedAgainWhenItIsWantedAgain)
{
  ASSERT_NO_FATAL_FAILURE(Connect());
  mOne.mLinks.SetMeshPeers({});
  ASSERT_TRUE(
    RunUntil([&] { return mOne.mLinks.MeshLinks().empty(); }, Seconds(15)));
  mOne.mLinks.SetMeshPeers({ { "two", mAddressOfTwo } });
  EXPECT_TRUE(RunUntil(
    [&] {
      return mOne.mLinks.MeshLinks().size() == 1 &&
             mTwo.mLinks.MeshLinks().size() == 1;
    },
    Seconds(5)));
}

} // namespace
} // namespace papayaway
