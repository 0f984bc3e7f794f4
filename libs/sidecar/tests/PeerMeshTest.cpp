#include <sidecar/PeerMesh.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include <base/Random.h>
#include <lab/LoopWait.h>

namespace papayaway::sidecar {
namespace {

/** One node that has only links; it stores the messages that it receives. */
struct LinkedNode
{
  LinkedNode(EventLoop& aLoop,
             const std::string& aName,
             const std::string& aAddress)
    : mLog(aLoop, { .mDescriptor = -1, .mNode = aName, .mDataCentre = "a" })
    , mMesh(aLoop,
            { .mNode = aName, .mAddress = aAddress },
            { .mMessage =
                [this](LinkId, const std::string&, PeerMessage aMessage) {
                  mReceived.push_back(std::move(aMessage));
                },
              .mLinkLost = [](LinkId, bool) {},
              .mOwnRecord =
                [aName] { return gateway::NodeRecord{ .mNode = aName }; } },
            mLog,
            mRandom)
  {
  }

  template<typename Message>
  [[nodiscard]] std::vector<Message> Received() const
  {
    std::vector<Message> messages;
    for (const PeerMessage& message : mReceived) {
      if (const auto* const match = std::get_if<Message>(&message)) {
        messages.push_back(*match);
      }
    }
    return messages;
  }

  EventLog mLog;
  Random mRandom = SeededFromSystem();
  std::vector<PeerMessage> mReceived;
  PeerMesh mMesh;
};

class PeerMeshTest : public ::testing::Test
{
protected:
  PeerMeshTest() { EXPECT_TRUE(mReceiver.mMesh.Listen()); }

  /** Sends a call, which opens a link if there is none. */
  LinkId SendCall(std::uint64_t aId)
  {
    return mSender.mMesh.SendOnDemand(
      "receiver", kReceiverAddress, CallMessage{ .mId = aId });
  }

  [[nodiscard]] bool CallArrives(std::uint64_t aId)
  {
    return RunUntil(
      mLoop,
      [&] {
        const auto calls = mReceiver.Received<CallMessage>();
        return std::any_of(calls.begin(), calls.end(), [&](const auto& aCall) {
          return aCall.mId == aId;
        });
      },
      Seconds(2));
  }

  static constexpr const char* kReceiverAddress = "127.77.0.1:7391";

  EventLoop mLoop;
  LinkedNode mReceiver{ mLoop, "receiver", kReceiverAddress };
  LinkedNode mSender{ mLoop, "sender", "127.77.0.1:7392" };
};

// Guards against a call that is sent to a target although its caller left while
// the link was opening: the cancellation was dropped and the call stayed
// queued.
TEST_F(PeerMeshTest, CallCancelledWhileItsLinkOpensIsNotSent)
{
  const LinkId link = SendCall(1);
  SendCall(2);
  mSender.mMesh.Reply(link, CancelMessage{ .mId = 1 });
  ASSERT_TRUE(CallArrives(2));
  EXPECT_EQ(mReceiver.Received<CallMessage>().size(), 1U);
}

} // namespace
} // namespace papayaway::sidecar
