#include <memory>

#include <net/PeerSocket.h>
#include <wire/Messages.h>

#include "ClusterTest.h"
#include "PeerAuthorization.h"

namespace papayaway {
namespace {

class PeerFailure : public ClusterTest
{
protected:
  struct Connection
  {
    std::unique_ptr<PeerSocket> mSocket;
    bool mOpened = false;
    bool mClosed = false;
    std::vector<std::string> mMessages;
  };

  /** Connects to the peer listener of aNode. */
  std::unique_ptr<Connection> Connect(const std::string& aNode,
                                      const std::string& aAuthorization)
  {
    auto connection = std::make_unique<Connection>();
    Connection* const raw = connection.get();
    connection->mSocket = PeerSocket::Connect(
      mCluster.Loop(),
      mCluster.NodeProcess(aNode).Address("peer"),
      aAuthorization,
      { .mOpened = [raw] { raw->mOpened = true; },
        .mMessage =
          [raw](std::string aMessage) {
            raw->mMessages.push_back(std::move(aMessage));
          },
        .mClosed = [raw](const std::string&) { raw->mClosed = true; } });
    return connection;
  }

  [[nodiscard]] std::string ValidAuthorization(const std::string& aName) const
  {
    return PeerAuthorization(aName, mCluster.Options().mPeerKey, WallNow());
  }
};

// Guards invariants 1 and 2: a process without the peer key must not be able to
// send facts or documents, and its refusal must be counted in a metric. A valid
// credential that is too old is refused too.
TEST_F(PeerFailure, WrongKeyIsRefusedAndCounted)
{
  ASSERT_NO_FATAL_FAILURE(
    StartCluster(PlansInTwoDataCentres(2, 0), SampleWithDeadline(5000)));
  const double before =
    mCluster.Metric("ledger-0", "papayaway_refused_peers_total");
  const auto wrong =
    Connect("ledger-0", PeerAuthorization("intruder", "wrong key", WallNow()));
  const auto late =
    Connect("ledger-0",
            PeerAuthorization("intruder",
                              mCluster.Options().mPeerKey,
                              WallNow() - kMaxClockDifference - Seconds(60)));
  ASSERT_TRUE(
    mCluster.WaitUntil([&] { return wrong->mClosed && late->mClosed; }));
  EXPECT_FALSE(wrong->mOpened);
  EXPECT_FALSE(late->mOpened);
  EXPECT_EQ(mCluster.Metric("ledger-0", "papayaway_refused_peers_total"),
            before + 2);
}

// Guards invariants 2 and 5 when a peer is faulty: a malformed message closes
// the connection on which it was received, and no other.
TEST_F(PeerFailure, MalformedMessageClosesOnlyItsConnection)
{
  // With a single data centre the number of mesh links does not depend on the
  // relay election.
  std::vector<NodePlan> plans = PlansInTwoDataCentres(3, 0);
  for (NodePlan& plan : plans) {
    plan.mDataCentre = "nbo-1";
  }
  ASSERT_NO_FATAL_FAILURE(StartCluster(plans, SampleWithDeadline(5000)));
  ASSERT_TRUE(mCluster.WaitUntil(
    [&] { return Report("ledger-0", "/v1/status")["mesh_links"] == 2; }));
  const double before =
    mCluster.Metric("ledger-0", "papayaway_malformed_messages_total");
  const auto good = Connect("ledger-0", ValidAuthorization("good"));
  const auto faulty = Connect("ledger-0", ValidAuthorization("faulty"));
  ASSERT_TRUE(
    mCluster.WaitUntil([&] { return good->mOpened && faulty->mOpened; }));
  for (const auto* const connection : { good.get(), faulty.get() }) {
    connection->mSocket->Send(
      Encode(Hello{ .mNode = connection == good.get() ? "good" : "faulty",
                    .mDataCentre = "nbo-1",
                    .mRegion = "nairobi",
                    .mPeerAddress = "127.0.0.1:1",
                    .mIncarnation = 1,
                    .mCallsOnly = true }));
  }
  ASSERT_TRUE(mCluster.WaitUntil(
    [&] { return !good->mMessages.empty() && !faulty->mMessages.empty(); }));
  faulty->mMessages.clear();
  faulty->mSocket->Send("\xff this is no message");
  ASSERT_TRUE(mCluster.WaitUntil([&] { return faulty->mClosed; }));
  ASSERT_EQ(faulty->mMessages.size(), 1U);
  const auto response = Decode(faulty->mMessages.front());
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<ErrorMessage>(*response));
  EXPECT_EQ(mCluster.Metric("ledger-0", "papayaway_malformed_messages_total"),
            before + 1);
  EXPECT_FALSE(good->mClosed);
  EXPECT_EQ(Report("ledger-0", "/v1/status")["mesh_links"], 2);
  const HttpResult read =
    mCluster.CallThrough("ledger-0", { .mPath = "/lots/1" });
  EXPECT_EQ(read.mResponse.mStatus, 200) << read.mResponse.mBody;
}

} // namespace
} // namespace papayaway
