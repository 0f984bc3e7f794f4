#include <http/CallerServer.h>

#include <sys/socket.h>
#include <unistd.h>

#include <net/SocketAddress.h>

#include "LoopFixture.h"

namespace papayaway {
namespace {

class CallerServerTest : public LoopFixture
{
protected:
  void Listen(const CallerLimits& aLimits = {})
  {
    mServer = std::move(*CallerServer::Listen(
      mLoop,
      "127.0.0.1:0",
      aLimits,
      [this](const std::shared_ptr<CallerExchange>& aExchange) {
        const std::size_t index = mExchanges.size();
        mExchanges.push_back(aExchange);
        aExchange->OnAbandoned([this, index] { mAbandoned.push_back(index); });
      }));
    mCaller = RawPeer::Connect(mLoop, mServer->Address());
  }

  void Respond(std::size_t aIndex, const std::string& aBody)
  {
    mExchanges.at(aIndex)->Respond({ .mBody = aBody });
  }

  /** Sends bytes on a connection of their own and closes it, all before the
   *  server runs. */
  void SendAndClose(const std::string& aBytes)
  {
    const sockaddr_in address = *ParseAddress(mServer->Address());
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(connect(descriptor,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    ASSERT_EQ(send(descriptor, aBytes.data(), aBytes.size(), 0),
              static_cast<ssize_t>(aBytes.size()));
    close(descriptor);
  }

  /** Writes requests for "/0", "/1" and so on, all at once. */
  void WritePipelinedRequests(int aCount);

  [[nodiscard]] bool WaitForRequests(std::size_t aCount)
  {
    return RunUntil([&] { return mExchanges.size() >= aCount; });
  }

  std::unique_ptr<CallerServer> mServer;
  std::unique_ptr<RawPeer> mCaller;
  std::vector<std::shared_ptr<CallerExchange>> mExchanges;
  std::vector<std::size_t> mAbandoned;
};

std::string
Get(const std::string& aPath, const std::string& aFields = "")
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aFields + "\r\n";
}

void
CallerServerTest::WritePipelinedRequests(int aCount)
{
  std::string requests;
  for (int i = 0; i < aCount; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  mCaller->Write(requests);
}

// Guards against a response that is sent out of order and so taken for the
// response to another request of the connection.
TEST_F(CallerServerTest, PipelinedRequestsGetResponsesInOrder)
{
  Listen();
  mCaller->Write(Get("/1") + Get("/2") + Get("/3"));
  ASSERT_TRUE(WaitForRequests(3));
  Respond(2, "third");
  Respond(0, "first");
  RunFor(Millis{ 30 });
  EXPECT_NE(mCaller->Read().find("first"), std::string::npos);
  EXPECT_EQ(mCaller->Read().find("third"), std::string::npos);
  Respond(1, "second");
  ASSERT_TRUE(RunUntil(
    [&] { return mCaller->Read().find("third") != std::string::npos; }));
  EXPECT_LT(mCaller->Read().find("second"), mCaller->Read().find("third"));
}

// Guards against working for a caller that disconnected while several of its
// requests waited: unread pipelined bytes hid the end of the connection.
TEST_F(CallerServerTest, DisconnectWithPipelinedRequestsIsDetected)
{
  Listen();
  mCaller->Write(Get("/1") + Get("/2"));
  ASSERT_TRUE(WaitForRequests(2));
  mCaller->Close();
  ASSERT_TRUE(RunUntil([&] { return mAbandoned.size() == 2; }));
  EXPECT_EQ(mServer->InFlight(), 0U);
  EXPECT_EQ(mServer->Connections(), 0U);
}

// Guards against a request that is sent on to a target although its caller has
// already closed the connection, because the server reads the request and the
// end of the connection one after the other.
TEST_F(CallerServerTest, RequestOfClosedConnectionIsNotHandled)
{
  Listen();
  SendAndClose(Get("/1") + Get("/2"));
  RunFor(Millis{ 100 });
  EXPECT_EQ(mExchanges.size(), 0U);
  EXPECT_EQ(mServer->InFlight(), 0U);
}

// Guards against requests that stay at work after their caller has left,
// because the end of the connection is not read while many of its requests
// wait.
TEST_F(CallerServerTest, DisconnectBehindManyPipelinedRequestsIsDetected)
{
  Listen();
  WritePipelinedRequests(100);
  ASSERT_TRUE(WaitForRequests(32));
  RunFor(Millis{ 30 });
  mCaller->Close();
  EXPECT_TRUE(RunUntil([&] { return mServer->Connections() == 0; }));
  EXPECT_EQ(mAbandoned.size(), mExchanges.size());
}

// Guards against a caller that makes the server hold any number of its
// requests, and against requests that are lost because they were not parsed
// while others waited.
TEST_F(CallerServerTest, ManyPipelinedRequestsAreHandledAFewAtATime)
{
  Listen();
  WritePipelinedRequests(100);
  ASSERT_TRUE(WaitForRequests(32));
  RunFor(Millis{ 30 });
  EXPECT_EQ(mExchanges.size(), 32U);
  for (std::size_t i = 0; i < 100; ++i) {
    ASSERT_TRUE(WaitForRequests(i + 1));
    EXPECT_EQ(mExchanges.at(i)->Request().mTarget, "/" + std::to_string(i));
    Respond(i, "response");
  }
  EXPECT_EQ(mServer->InFlight(), 0U);
}

// Guards against a connection that stays open after "Connection: close", and
// against running a request that follows: its caller retries it on another
// connection, so it would run twice.
TEST_F(CallerServerTest, NothingIsReadAfterRequestWithConnectionClose)
{
  Listen();
  mCaller->Write(Get("/1", "Connection: close\r\n") + Get("/2"));
  ASSERT_TRUE(WaitForRequests(1));
  RunFor(Millis{ 30 });
  EXPECT_EQ(mExchanges.size(), 1U);
  Respond(0, "only");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find("Connection: close"), std::string::npos);
  EXPECT_EQ(mExchanges.size(), 1U);
}

// Guards against losing the responses to waiting requests in a planned stop.
TEST_F(CallerServerTest, CloseAfterResponsesSendsPendingResponseFirst)
{
  Listen();
  mCaller->Write(Get("/1"));
  ASSERT_TRUE(WaitForRequests(1));
  mServer->CloseAfterResponses();
  mServer->CloseIdle();
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mCaller->Ended());
  Respond(0, "last");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find("last"), std::string::npos);
}

// Guards against a planned stop that closes a connection after the first of
// several responses, although the other requests have been passed on.
TEST_F(CallerServerTest, CloseAfterResponsesAnswersAllPipelinedRequests)
{
  Listen();
  mCaller->Write(Get("/1") + Get("/2") + Get("/3"));
  ASSERT_TRUE(WaitForRequests(3));
  mServer->CloseAfterResponses();
  Respond(0, "first");
  Respond(2, "third");
  mCaller->Write(Get("/4"));
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mCaller->Ended());
  Respond(1, "second");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  const std::string received = mCaller->Read();
  EXPECT_LT(received.find("first"), received.find("second"));
  EXPECT_LT(received.find("second"), received.find("third"));
  EXPECT_LT(received.find("third"), received.size());
  EXPECT_EQ(received.find("Connection: close"),
            received.rfind("Connection: close"));
  EXPECT_GT(received.find("Connection: close"), received.find("second"));
  EXPECT_EQ(mExchanges.size(), 3U) << "a request was taken during the stop";
  EXPECT_TRUE(mAbandoned.empty());
}

TEST_F(CallerServerTest, MalformedRequestIsRejectedAfterEarlierResponses)
{
  Listen();
  mCaller->Write(Get("/1") + "GET /2 HTTP/1.1\r\nContent-Length: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  Respond(0, "first");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find(" 400 "), std::string::npos);
  EXPECT_LT(mCaller->Read().find("first"), mCaller->Read().find(" 400 "));
}

// Guards against connections that are kept open by an incomplete request.
TEST_F(CallerServerTest, SlowHeadersTimeOut)
{
  Listen({ .mHeaderTimeout = Millis{ 100 } });
  mCaller->Write("GET / HT");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find(" 408 "), std::string::npos);
}

TEST_F(CallerServerTest, IdleConnectionIsClosed)
{
  Listen({ .mIdleTimeout = Millis{ 100 } });
  EXPECT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
}

} // namespace
} // namespace papayaway
