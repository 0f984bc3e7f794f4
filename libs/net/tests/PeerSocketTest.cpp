#include <net/PeerSocket.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

constexpr Millis kTestTimeout = Seconds(20);

struct PeerSocketTest : testing::Test
{
  EventLoop mLoop;
  Timer mTimeoutTimer{ mLoop, [this] { mLoop.Stop(); } };
  std::unique_ptr<PeerSocket> mServerSocket;
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
            mServerSocket = std::move(aSocket);
            mServerSocket->SetHandlers(
              { .mMessage = [this](const std::string& aMessage) {
                mReceived.push_back(aMessage);
                mServerSocket->Send("echo " + aMessage);
              } });
          } });
    ASSERT_TRUE(listener.has_value());
    mListener = std::move(*listener);
    mTimeoutTimer.StartOnce(kTestTimeout);
  }
};

// Guards against messages that are lost, merged or reordered on a connection.
TEST_F(PeerSocketTest, MessagesArriveWholeAndInOrder)
{
  const std::string large(300000, 'x');
  std::vector<std::string> responses;
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
                                     responses.push_back(aMessage);
                                     if (responses.size() == 3) {
                                       mLoop.Stop();
                                     }
                                   } });
  mLoop.Run();
  EXPECT_EQ(mReceived, (std::vector<std::string>{ "one", large, "three" }));
  EXPECT_EQ(
    responses,
    (std::vector<std::string>{ "echo one", "echo " + large, "echo three" }));
}

// Guards against accepting a peer that does not have the authorization key.
TEST_F(PeerSocketTest, WrongAuthorizationIsRefused)
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

// Guards against a connection that stays open after the peer has closed it.
TEST_F(PeerSocketTest, ClosingOneSideClosesTheOther)
{
  std::string reason;
  const auto client = PeerSocket::Connect(
    mLoop,
    mListener->Address(),
    "secret",
    { .mOpened = [&] { mLoop.Defer([&] { mServerSocket.reset(); }); },
      .mClosed =
        [&](const std::string& aReason) {
          reason = aReason;
          mLoop.Stop();
        } });
  mLoop.Run();
  EXPECT_EQ(reason, "the peer closed the connection");
}

// Guards against a connection attempt whose failure is never reported.
TEST_F(PeerSocketTest, RefusedConnectionIsReported)
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
