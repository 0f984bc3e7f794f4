#include <http/TargetClient.h>

#include <optional>

#include "LoopFixture.h"

namespace papayaway {
namespace {

class TargetClientTest : public LoopFixture
{
protected:
  TargetClientTest()
    : mListener(std::move(*TcpListener::Listen(
        mLoop,
        "127.0.0.1:0",
        [this](std::shared_ptr<TcpStream> aStream) {
          mTargets.push_back(std::make_unique<RawPeer>(std::move(aStream)));
        })))
  {
    mClient.emplace(mLoop, TargetClientOptions{ .mAnswers = AnswersById });
  }

  static bool AnswersById(const HttpMessage& aMessage, const std::string& aId)
  {
    return aMessage.mHeaders.Value("Id") == aId;
  }

  TargetClient::CallId Send(const std::string& aId)
  {
    mResult.reset();
    return mClient->Send(
      { .mAddress = mListener->Address(),
        .mMessage = { .mMethod = "GET", .mTarget = "/" + aId },
        .mRequestId = aId },
      [this](TargetResult aResult) { mResult = std::move(aResult); });
  }

  /** @return whether the request arrived on the connection. */
  [[nodiscard]] bool Arrived(std::size_t aConnection, const std::string& aId)
  {
    return RunUntil([&] {
      return mTargets.size() > aConnection &&
             mTargets[aConnection]->Read().find("/" + aId) != std::string::npos;
    });
  }

  [[nodiscard]] bool Ended()
  {
    return RunUntil([&] { return mResult.has_value(); });
  }

  static std::string Response(const std::string& aId,
                              const std::string& aFields = "")
  {
    return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\n" + aFields +
           "Content-Length: 2\r\n\r\nok";
  }

  std::vector<std::unique_ptr<RawPeer>> mTargets;
  std::unique_ptr<TcpListener> mListener;
  std::optional<TargetClient> mClient;
  std::optional<TargetResult> mResult;
};

TEST_F(TargetClientTest, ConnectionIsUsedAgain)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Answered);
  Send("2");
  ASSERT_TRUE(Arrived(0, "2"));
  mTargets[0]->Write(Response("2"));
  ASSERT_TRUE(Ended());
  EXPECT_TRUE(mResult->mReusedConnection);
  EXPECT_EQ(mClient->Opened(), 1U);
}

// Guards against the answer to an earlier request being taken for that of the
// next one on the connection.
TEST_F(TargetClientTest, LateSecondAnswerIsDropped)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(Ended());
  Send("2");
  ASSERT_TRUE(Arrived(0, "2"));
  mTargets[0]->Write(Response("1"));
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mResult);
  mTargets[0]->Write(Response("2"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mResponse.mHeaders.Value("Id"), "2");
  Send("3");
  EXPECT_TRUE(Arrived(1, "3")) << "the connection can't be trusted any more";
}

TEST_F(TargetClientTest, BytesBehindAnAnswerEndTheConnection)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1") + Response("1"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Answered);
  Send("2");
  EXPECT_TRUE(Arrived(1, "2"));
}

// Guards against an answer that is cut short and looks complete.
TEST_F(TargetClientTest, AnswerCutShortIsLost)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok");
  mTargets[0]->Close();
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Lost);
}

TEST_F(TargetClientTest, AnswerWithoutLengthEndsWithTheConnection)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  RunFor(Millis{ 20 });
  mTargets[0]->Close();
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Answered);
  EXPECT_EQ(mResult->mResponse.mBody, "all of it");
}

// Guards against a request that is sent twice by the client itself.
TEST_F(TargetClientTest, ClosedKeptConnectionIsNotRepeated)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(Ended());
  Send("2");
  ASSERT_TRUE(Arrived(0, "2"));
  mTargets[0]->Close();
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Lost);
  EXPECT_EQ(mTargets.size(), 1U);
}

// Guards against requests that are lost one after the other on kept
// connections which the target forgets sooner than it says.
TEST_F(TargetClientTest, ConnectionsForgottenWhileIdleAreNotUsedAgain)
{
  mClient.emplace(mLoop,
                  TargetClientOptions{ .mForgottenWithin = Seconds(5),
                                       .mAnswers = AnswersById });
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(Ended());
  RunFor(Millis{ 300 });
  Send("2");
  ASSERT_TRUE(Arrived(0, "2"));
  mTargets[0]->Close();
  ASSERT_TRUE(Ended());
  ASSERT_EQ(mResult->mEnd, TargetEnd::Lost);
  Send("3");
  ASSERT_TRUE(Arrived(1, "3"));
  mTargets[1]->Write(Response("3"));
  ASSERT_TRUE(Ended());
  RunFor(Millis{ 250 });
  Send("4");
  EXPECT_TRUE(Arrived(2, "4")) << "sent on a connection that rested too long";
}

TEST_F(TargetClientTest, BytesThatAreNoAnswerAreLost)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write("this is no answer\r\n\r\n");
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::Lost);
}

// Guards against a statement "may have run" for what was never sent.
TEST_F(TargetClientTest, RefusedConnectionSentNothing)
{
  const std::string address = mListener->Address();
  mListener.reset();
  mClient->Send({ .mAddress = address,
                  .mMessage = { .mMethod = "GET", .mTarget = "/" },
                  .mRequestId = "1" },
                [this](TargetResult aResult) { mResult = std::move(aResult); });
  ASSERT_TRUE(Ended());
  EXPECT_EQ(mResult->mEnd, TargetEnd::NotConnected);
}

// Guards against targets that go on working after the caller has left.
TEST_F(TargetClientTest, CancelClosesTheConnection)
{
  const TargetClient::CallId id = Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mClient->Cancel(id);
  EXPECT_TRUE(RunUntil([&] { return mTargets[0]->Ended(); }));
  EXPECT_FALSE(mResult);
}

TEST_F(TargetClientTest, ConnectionIsDroppedBeforeTheTargetDropsIt)
{
  Send("1");
  ASSERT_TRUE(Arrived(0, "1"));
  mTargets[0]->Write(Response("1", "Keep-Alive: timeout=1\r\n"));
  ASSERT_TRUE(Ended());
  RunFor(Millis{ 700 });
  Send("2");
  EXPECT_TRUE(Arrived(1, "2"));
}

} // namespace
} // namespace papayaway
