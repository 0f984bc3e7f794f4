#include <net/PeerSocket.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

constexpr Millis kTestTimeout = Seconds(20);

struct Fixture : testing::Test
{
  EventLoop mLoop;
  Timer mGuard{ mLoop, [this] { mLoop.Stop(); } };
  std::unique_ptr<PeerSocket> mServerSide;
  std::unique_ptr<PeerListener> mListener;
  std::vector<std::string> mReceived;
  int mAccepted = 0;

  void SetUp() override
  {
    auto listener = PeerListener::Listen(
      mLoop,
      "127.0.0.1:0",
      { .mAuthorize =
          [](const std::string& aValue) { return aValue == "secret"; },
        .mAccepted =
          [this](std::unique_ptr<PeerSocket> aSocket) {
            ++mAccepted;
            mServerSide = std::move(aSocket);
            mServerSide->SetHandlers(
              { .mMessage = [this](const std::string& aMessage) {
                mReceived.push_back(aMessage);
                mServerSide->Send("echo " + aMessage);
              } });
          } });
    ASSERT_TRUE(listener.has_value());
    mListener = std::move(*listener);
    mGuard.StartOnce(kTestTimeout);
  }
};

// Guards against messages that are lost, merged or reordered on a link.
TEST_F(Fixture, MessagesArriveWholeAndInOrder)
{
  const std::string large(300000, 'x');
  std::vector<std::string> replies;
  std::unique_ptr<PeerSocket> client;
  client = PeerSocket::Connect(mLoop,
                               mListener->Address(),
                               "secret",
                               { .mOpened =
                                   [&] {
                                     client->Send("one");
                                     client->Send(large);
                                     client->Send("three");
                                   },
                                 .mMessage =
                                   [&](const std::string& aMessage) {
                                     replies.push_back(aMessage);
                                     if (replies.size() == 3) {
                                       mLoop.Stop();
                                     }
                                   } });
  mLoop.Run();
  EXPECT_EQ(mReceived, (std::vector<std::string>{ "one", large, "three" }));
  EXPECT_EQ(
    replies,
    (std::vector<std::string>{ "echo one", "echo " + large, "echo three" }));
}

// Guards against a process without the key that joins the mesh.
TEST_F(Fixture, WrongAuthorizationIsRefused)
{
  std::string reason;
  const auto client =
    PeerSocket::Connect(mLoop,
                        mListener->Address(),
                        "guess",
                        { .mClosed = [&](const std::string& aReason) {
                          reason = aReason;
                          mLoop.Stop();
                        } });
  mLoop.Run();
  EXPECT_FALSE(reason.empty());
  EXPECT_EQ(mAccepted, 0);
}

// Guards against a peer that is gone and whose link stays open for ever.
TEST_F(Fixture, ClosingOneSideEndsTheOther)
{
  std::string reason;
  const auto client = PeerSocket::Connect(
    mLoop,
    mListener->Address(),
    "secret",
    { .mOpened = [&] { mLoop.Defer([&] { mServerSide.reset(); }); },
      .mClosed =
        [&](const std::string& aReason) {
          reason = aReason;
          mLoop.Stop();
        } });
  mLoop.Run();
  EXPECT_EQ(reason, "the peer closed the connection");
}

// Guards against a connection attempt without an end.
TEST_F(Fixture, RefusedConnectionIsReported)
{
  const std::string address = mListener->Address();
  mListener.reset();
  std::string reason;
  const auto client = PeerSocket::Connect(
    mLoop, address, "secret", { .mClosed = [&](const std::string& aReason) {
      reason = aReason;
      mLoop.Stop();
    } });
  mLoop.Run();
  EXPECT_EQ(reason, "can't connect: Connection refused");
}

} // namespace
} // namespace papayaway
