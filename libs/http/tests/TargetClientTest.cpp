#include <http/TargetClient.h>

#include <optional>
#include <ostream>
#include <string>

#include <lab/ScriptedServer.h>

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
    mClient.emplace(mLoop, TargetClientOptions{ .mMatchesRequest = MatchesId });
  }

  static bool MatchesId(const HttpMessage& aMessage, const std::string& aId)
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

  /** Waits until the target has received the request with the given id.
   *  @param aConnection index of the connection in the order of accepting.
   *  @return whether the request arrived in time. */
  [[nodiscard]] bool RequestArrives(std::size_t aConnection,
                                    const std::string& aId)
  {
    return RunUntil([&] {
      return mTargets.size() > aConnection &&
             mTargets[aConnection]->Read().find("/" + aId) != std::string::npos;
    });
  }

  /** Waits for the result of the last call.
   *  @return whether it came in time. */
  [[nodiscard]] bool ResultArrives()
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

TEST_F(TargetClientTest, ConnectionIsReused)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::Answered);
  Send("2");
  ASSERT_TRUE(RequestArrives(0, "2"));
  mTargets[0]->Write(Response("2"));
  ASSERT_TRUE(ResultArrives());
  EXPECT_TRUE(mResult->mReusedConnection);
  EXPECT_EQ(mClient->ConnectionsOpened(), 1U);
}

// Guards against a second response to an earlier request being taken for the
// response to the next request on the connection.
TEST_F(TargetClientTest, DuplicateResponseIsDropped)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(ResultArrives());
  Send("2");
  ASSERT_TRUE(RequestArrives(0, "2"));
  mTargets[0]->Write(Response("1"));
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mResult);
  mTargets[0]->Write(Response("2"));
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mResponse.mHeaders.Value("Id"), "2");
  Send("3");
  EXPECT_TRUE(RequestArrives(1, "3"))
    << "the connection was reused after an unexpected response";
}

TEST_F(TargetClientTest, ExtraBytesAfterResponseCloseConnection)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1") + Response("1"));
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::Answered);
  Send("2");
  EXPECT_TRUE(RequestArrives(1, "2"));
}

// Guards against a truncated response being reported as complete.
TEST_F(TargetClientTest, TruncatedResponseIsReportedAsLost)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok");
  mTargets[0]->Close();
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  EXPECT_EQ(mResult->mLossCause, LossCause::Closed);
}

// Guards against a response whose header ended early being taken for a response
// without length that ends with its connection.
TEST_F(TargetClientTest, ResponseThatEndsWithinItsHeaderIsReportedAsLost)
{
  const std::string header = "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n\r\n";
  for (std::size_t bytes = 1; bytes < header.size(); ++bytes) {
    Send("1");
    ASSERT_TRUE(RequestArrives(bytes - 1, "1"));
    mTargets[bytes - 1]->Write(header.substr(0, bytes));
    mTargets[bytes - 1]->Close();
    ASSERT_TRUE(ResultArrives());
    EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost) << bytes;
  }
}

TEST_F(TargetClientTest, ResponseWithoutLengthEndsWithConnection)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  RunFor(Millis{ 20 });
  mTargets[0]->Close();
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::Answered);
  EXPECT_EQ(mResult->mResponse.mBody, "all of it");
}

// Guards against the client retrying a request by itself when the target
// closes a reused connection.
TEST_F(TargetClientTest, RequestOnClosedReusedConnectionIsNotRetried)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(ResultArrives());
  Send("2");
  ASSERT_TRUE(RequestArrives(0, "2"));
  mTargets[0]->Close();
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  EXPECT_EQ(mTargets.size(), 1U);
}

// Guards against losing one request after another on idle connections that the
// target drops sooner than its Keep-Alive timeout says.
TEST_F(TargetClientTest, StaleIdleConnectionsAreNotReused)
{
  mClient.emplace(mLoop,
                  TargetClientOptions{ .mStaleDetectionWindow = Seconds(5),
                                       .mMatchesRequest = MatchesId });
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(ResultArrives());
  RunFor(Millis{ 300 });
  Send("2");
  ASSERT_TRUE(RequestArrives(0, "2"));
  mTargets[0]->Close();
  ASSERT_TRUE(ResultArrives());
  ASSERT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  Send("3");
  ASSERT_TRUE(RequestArrives(1, "3"));
  mTargets[1]->Write(Response("3"));
  ASSERT_TRUE(ResultArrives());
  RunFor(Millis{ 250 });
  Send("4");
  EXPECT_TRUE(RequestArrives(2, "4"))
    << "sent on a connection that was idle for too long";
}

/** How a target sends bytes without end. */
struct EndlessResponse
{
  std::string mName;
  std::string mStart;
  /** Sent again and again after mStart. */
  std::string mRepeated;
};

/** Prints the name in test output and in the names that ctest uses. */
std::ostream&
operator<<(std::ostream& aStream, const EndlessResponse& aResponse)
{
  return aStream << aResponse.mName;
}

class EndlessResponseTest
  : public TargetClientTest
  , public ::testing::WithParamInterface<EndlessResponse>
{};

// Guards against a target that fills the memory of its node, or occupies it
// until the deadline, by a response without end.
TEST_P(EndlessResponseTest, EndsTheCallAndTheConnection)
{
  // A response above this size could not be passed on to another node.
  constexpr std::size_t kMaxBytes = std::size_t{ 4 } << 20;
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(GetParam().mStart);
  std::size_t sent = 0;
  std::string block;
  while (block.size() < (std::size_t{ 256 } << 10)) {
    block += GetParam().mRepeated;
  }
  ASSERT_TRUE(RunUntil([&] {
    if (!mTargets[0]->Ended()) {
      mTargets[0]->Write(block);
      sent += block.size();
    }
    return mTargets[0]->Ended() || sent > 8 * kMaxBytes;
  }));
  EXPECT_TRUE(mTargets[0]->Ended());
  ASSERT_TRUE(mResult.has_value()) << "no result after " << sent << " bytes";
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  EXPECT_LT(mResult->mResponse.mBody.size(), kMaxBytes);
  EXPECT_EQ(mResult->mLossCause,
            GetParam().mName == "Bytes" ? LossCause::Malformed
                                        : LossCause::TooLarge);
}

INSTANTIATE_TEST_SUITE_P(
  Forms,
  EndlessResponseTest,
  ::testing::Values(
    EndlessResponse{ "Bytes", "", "no response " },
    EndlessResponse{ "HeaderField", "HTTP/1.1 200 OK\r\nId: ", "1" },
    EndlessResponse{ "HeaderFields", "HTTP/1.1 200 OK\r\n", "Id: 1\r\n" },
    EndlessResponse{ "BodyWithoutLength",
                     "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                     "body " },
    EndlessResponse{
      "BodyWithHugeLength",
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 60000000\r\n\r\n",
      "body " },
    EndlessResponse{
      "Chunks",
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1\r\nx\r\n" },
    EndlessResponse{
      "Trailers",
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "Trailer: 1\r\n" },
    EndlessResponse{ "InformationalResponses",
                     "",
                     "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" },
    EndlessResponse{
      "ResponsesToOtherRequests",
      "",
      "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nok" }),
  [](const auto& aInfo) { return aInfo.param.mName; });

// Guards against telling a caller that its request has not run because the
// target sends its refusal of an earlier request once more.
TEST_F(TargetClientTest, RepeatedRefusalIsNotTakenForTheNextResponse)
{
  const std::string refusal =
    "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(refusal);
  ASSERT_TRUE(ResultArrives());
  ASSERT_EQ(mResult->mResponse.mStatus, 503);
  Send("2");
  ASSERT_TRUE(RequestArrives(0, "2"));
  mTargets[0]->Write(refusal);
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mResult) << "the earlier refusal was taken for a response";
  mTargets[0]->Write(Response("2"));
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mResponse.mStatus, 200);
}

// As above, with a refusal that arrives before the next request is sent, and
// one without a request id.
TEST_F(TargetClientTest, RepeatedRefusalOnAnIdleConnectionClosesIt)
{
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1"
                              "\r\nContent-Length: 0\r\n\r\n";
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1"));
  ASSERT_TRUE(ResultArrives());
  mTargets[0]->Write(refusal);
  ASSERT_TRUE(RunUntil([&] { return mTargets[0]->Ended(); }));
  Send("2");
  ASSERT_TRUE(RequestArrives(1, "2"));
  mTargets[1]->Write(refusal);
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mResult) << "a refusal without a request id was taken";
}

/** Sends requests of 12 MiB to a server that responds before it reads them. */
class EarlyResponse : public TargetClientTest
{
protected:
  using Ending = ScriptedResponse::Ending;

  void SendTo(const std::string& aAddress)
  {
    mResult.reset();
    mClient->Send(
      { .mAddress = aAddress,
        .mMessage = { .mMethod = "POST",
                      .mTarget = "/1",
                      .mBody = std::string(12U << 20, 'u') },
        .mRequestId = "1" },
      [this](TargetResult aResult) { mResult = std::move(aResult); });
  }

  /** Sends a request that gets this response and waits for the result. */
  void Exchange(const ScriptedResponse& aResponse)
  {
    ScriptedServer server(mLoop, [&](const std::string&) { return aResponse; });
    SendTo(server.Address());
    ASSERT_TRUE(ResultArrives());
  }
};

// Guards against a part of a response without a length that is taken for the
// whole, because a failed write had taken the error of the reset connection.
TEST_F(EarlyResponse, ResetBeforeTheEndIsReportedAsLost)
{
  int answered = 0;
  constexpr int kExchanges = 40;
  for (int i = 0; i < kExchanges; ++i) {
    ASSERT_NO_FATAL_FAILURE(
      Exchange({ .mBytes = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" +
                           std::string(i % 2 == 0 ? 4U : 200U << 10, 'p'),
                 .mEnding = Ending::Reset,
                 .mTimeToEnding = Millis{ static_cast<double>(i % 10) },
                 .mReadsBody = i % 4 == 3 }));
    answered += mResult->mOutcome == TargetOutcome::Answered ? 1 : 0;
  }
  EXPECT_EQ(answered, 0) << "of " << kExchanges;
}

// Guards against a server of tests that ends a response in an orderly way when
// it is destroyed before it was to reset the connection.
TEST_F(EarlyResponse, DestroyedServerResetsItsConnections)
{
  auto server =
    std::make_unique<ScriptedServer>(mLoop, [&](const std::string&) {
      return ScriptedResponse{ .mBytes = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart",
                               .mEnding = Ending::Reset,
                               .mTimeToEnding = Seconds(10) };
    });
  SendTo(server->Address());
  ASSERT_TRUE(RunUntil([&] { return server->Requests() == 1; }));
  RunFor(Millis{ 200 });
  server.reset();
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  EXPECT_EQ(mResult->mLossCause, LossCause::Reset);
}

// Guards against losing a response that was complete before the connection was
// reset: by its length, or by the end of the stream.
TEST_F(EarlyResponse, ResetAfterTheEndLosesNothing)
{
  int lost = 0;
  constexpr int kExchanges = 40;
  for (int i = 0; i < kExchanges; ++i) {
    const std::string body(i % 4 < 2 ? 4U : 200U << 10, 'w');
    const std::string length =
      i % 2 == 0 ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                 : "";
    ASSERT_NO_FATAL_FAILURE(Exchange(
      { .mBytes = "HTTP/1.1 200 OK\r\nId: 1\r\n" + length + "\r\n" + body,
        .mEnding = i % 2 == 0 ? Ending::Reset : Ending::CloseThenReset,
        .mTimeToEnding = Millis{ static_cast<double>(i % 10) },
        .mReadsBody = false }));
    lost += mResult->mOutcome == TargetOutcome::Answered &&
                mResult->mResponse.mBody == body
              ? 0
              : 1;
  }
  EXPECT_EQ(lost, 0) << "of " << kExchanges;
}

TEST_F(TargetClientTest, MalformedResponseIsReportedAsLost)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write("this is no answer\r\n\r\n");
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::ConnectionLost);
  EXPECT_EQ(mResult->mLossCause, LossCause::Malformed);
}

// Guards against reporting that a request may have run when it was never sent.
TEST_F(TargetClientTest, RefusedConnectionIsReportedAsNotConnected)
{
  const std::string address = mListener->Address();
  mListener.reset();
  mClient->Send({ .mAddress = address,
                  .mMessage = { .mMethod = "GET", .mTarget = "/" },
                  .mRequestId = "1" },
                [this](TargetResult aResult) { mResult = std::move(aResult); });
  ASSERT_TRUE(ResultArrives());
  EXPECT_EQ(mResult->mOutcome, TargetOutcome::NotConnected);
}

// Guards against a target that keeps working on a request after its caller has
// disconnected: closing the connection notifies the target.
TEST_F(TargetClientTest, CancelClosesTheConnection)
{
  const TargetClient::CallId id = Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mClient->Cancel(id);
  EXPECT_TRUE(RunUntil([&] { return mTargets[0]->Ended(); }));
  EXPECT_FALSE(mResult);
}

// Guards against sending a request on a connection that the target is about to
// close.
TEST_F(TargetClientTest, IdleConnectionIsClosedBeforeKeepAliveEnds)
{
  Send("1");
  ASSERT_TRUE(RequestArrives(0, "1"));
  mTargets[0]->Write(Response("1", "Keep-Alive: timeout=1\r\n"));
  ASSERT_TRUE(ResultArrives());
  RunFor(Millis{ 700 });
  Send("2");
  EXPECT_TRUE(RequestArrives(1, "2"));
}

} // namespace
} // namespace papayaway
