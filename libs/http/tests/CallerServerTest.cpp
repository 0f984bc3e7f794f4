#include <http/CallerServer.h>

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

  void Answer(std::size_t aIndex, const std::string& aBody)
  {
    mExchanges.at(aIndex)->Respond({ .mBody = aBody });
  }

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

// Guards against answers that go to another request of the connection.
TEST_F(CallerServerTest, RequestsSentAheadAreAnsweredInOrder)
{
  Listen();
  mCaller->Write(Get("/1") + Get("/2") + Get("/3"));
  ASSERT_TRUE(WaitForRequests(3));
  Answer(2, "third");
  Answer(0, "first");
  RunFor(Millis{ 30 });
  EXPECT_NE(mCaller->Read().find("first"), std::string::npos);
  EXPECT_EQ(mCaller->Read().find("third"), std::string::npos);
  Answer(1, "second");
  ASSERT_TRUE(RunUntil(
    [&] { return mCaller->Read().find("third") != std::string::npos; }));
  EXPECT_LT(mCaller->Read().find("second"), mCaller->Read().find("third"));
}

// Guards against work for a caller that left while further requests of it
// waited: the pipelined bytes hid the end of the connection.
TEST_F(CallerServerTest, CallerThatLeavesWithRequestsAheadIsNoticed)
{
  Listen();
  mCaller->Write(Get("/1") + Get("/2"));
  ASSERT_TRUE(WaitForRequests(2));
  mCaller->Close();
  ASSERT_TRUE(RunUntil([&] { return mAbandoned.size() == 2; }));
  EXPECT_EQ(mServer->InFlight(), 0U);
  EXPECT_EQ(mServer->Connections(), 0U);
}

// Guards against a connection that goes on after "Connection: close", and
// against a request behind it that is run although its caller repeats it.
TEST_F(CallerServerTest, NothingIsReadBehindAClosingRequest)
{
  Listen();
  mCaller->Write(Get("/1", "Connection: close\r\n") + Get("/2"));
  ASSERT_TRUE(WaitForRequests(1));
  RunFor(Millis{ 30 });
  EXPECT_EQ(mExchanges.size(), 1U);
  Answer(0, "only");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find("Connection: close"), std::string::npos);
  EXPECT_EQ(mExchanges.size(), 1U);
}

// Guards against a planned stop that cuts off requests.
TEST_F(CallerServerTest, ResponsesCloseTheConnectionOnceAsked)
{
  Listen();
  mCaller->Write(Get("/1"));
  ASSERT_TRUE(WaitForRequests(1));
  mServer->CloseAfterResponses();
  mServer->CloseIdle();
  RunFor(Millis{ 30 });
  EXPECT_FALSE(mCaller->Ended());
  Answer(0, "last");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find("last"), std::string::npos);
}

TEST_F(CallerServerTest, MalformedRequestIsRefusedBehindTheOthers)
{
  Listen();
  mCaller->Write(Get("/1") + "GET /2 HTTP/1.1\r\nContent-Length: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  Answer(0, "first");
  ASSERT_TRUE(RunUntil([&] { return mCaller->Ended(); }));
  EXPECT_NE(mCaller->Read().find(" 400 "), std::string::npos);
  EXPECT_LT(mCaller->Read().find("first"), mCaller->Read().find(" 400 "));
}

// Guards against connections that are held open by half a request.
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
