#include <http/CallerServer.h>

#include <array>
#include <ostream>
#include <string>
#include <tuple>

#include <sys/socket.h>
#include <unistd.h>

#include <net/SocketAddress.h>

#include "LoopFixture.h"

namespace papayaway {
namespace {

/** How fast a caller reads. */
enum class Pace
{
  AtOnce,
  /** Little by little, with a small receive buffer, so that most of a large
   *  response waits at the server. */
  Slow,
};

/** Why the connection ends after the response. */
enum class Ending
{
  /** The caller asked for it with "Connection: close". */
  Requested,
  /** The server was stopped before it responded. */
  StopBefore,
  /** The server was stopped after it responded, with the response unread. */
  StopAfter,
  /** The server was stopped while three pipelined requests waited. */
  StopWithPipelinedRequests,
};

using DeliveryCase = std::tuple<std::size_t, Pace, Ending>;

std::string
NameOf(const testing::TestParamInfo<DeliveryCase>& aInfo)
{
  const std::size_t size = std::get<0>(aInfo.param);
  const Pace pace = std::get<1>(aInfo.param);
  const Ending ending = std::get<2>(aInfo.param);
  const std::array endings = {
    "Requested", "StopBefore", "StopAfter", "StopWithPipelinedRequests"
  };
  return std::to_string(size) + (pace == Pace::Slow ? "BytesSlow" : "Bytes") +
         endings.at(static_cast<std::size_t>(ending));
}

class ResponseDelivery : public LoopFixture
{
protected:
  static constexpr std::size_t kSlowReceiveBuffer = 8192;

  ~ResponseDelivery() override
  {
    if (mCaller >= 0) {
      close(mCaller);
    }
  }

  void Listen()
  {
    mServer = std::move(*CallerServer::Listen(
      mLoop,
      "127.0.0.1:0",
      {},
      [this](const std::shared_ptr<CallerExchange>& aExchange) {
        mExchanges.push_back(aExchange);
      }));
  }

  void ConnectCaller(Pace aPace)
  {
    mCaller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aPace == Pace::Slow) {
      const int size = kSlowReceiveBuffer;
      setsockopt(mCaller, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    const sockaddr_in address = *ParseAddress(mServer->Address());
    ASSERT_EQ(connect(mCaller,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
  }

  void SendRequests(int aCount, const std::string& aFields)
  {
    std::string text;
    for (int i = 0; i < aCount; ++i) {
      text += "GET /x HTTP/1.1\r\nHost: x\r\n" + aFields + "\r\n";
    }
    ASSERT_EQ(send(mCaller, text.data(), text.size(), 0),
              static_cast<ssize_t>(text.size()));
    ASSERT_TRUE(RunUntil(
      [&] { return mExchanges.size() == static_cast<std::size_t>(aCount); }));
  }

  /** Does what a process does when it is stopped. */
  void Stop()
  {
    mServer->CloseAfterResponses();
    mServer->StopAccepting();
    mServer->CloseIdle();
  }

  /** Reads once.
   *  @return whether the connection has ended. */
  bool ReadSome(Pace aPace)
  {
    std::array<char, 65536> buffer{};
    const std::size_t size =
      aPace == Pace::Slow ? kSlowReceiveBuffer : buffer.size();
    const ssize_t length = recv(mCaller, buffer.data(), size, MSG_DONTWAIT);
    if (length > 0) {
      mRead.append(buffer.data(), static_cast<std::size_t>(length));
    }
    return length == 0 || (length < 0 && errno != EAGAIN);
  }

  [[nodiscard]] std::size_t Count(const std::string& aText) const
  {
    std::size_t count = 0;
    for (std::size_t at = mRead.find(aText); at != std::string::npos;
         at = mRead.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  std::unique_ptr<CallerServer> mServer;
  std::vector<std::shared_ptr<CallerExchange>> mExchanges;
  int mCaller = -1;
  std::string mRead;
};

class ResponseDeliveryTest
  : public ResponseDelivery
  , public ::testing::WithParamInterface<DeliveryCase>
{};

// Guards against a response that is cut because its connection is closed while
// the caller still reads it, and against a server that reports that it has
// finished before the last byte is written.
TEST_P(ResponseDeliveryTest, CallerGetsTheWholeResponse)
{
  const std::size_t size = std::get<0>(GetParam());
  const Pace pace = std::get<1>(GetParam());
  const Ending ending = std::get<2>(GetParam());
  const int requests = ending == Ending::StopWithPipelinedRequests ? 3 : 1;
  Listen();
  ConnectCaller(pace);
  SendRequests(requests,
               ending == Ending::Requested ? "Connection: close\r\n" : "");
  if (ending != Ending::Requested && ending != Ending::StopAfter) {
    Stop();
  }
  const std::string body = std::string(size - 1, 'x') + "!";
  for (const auto& exchange : mExchanges) {
    exchange->Respond({ .mBody = body });
  }
  if (ending == Ending::StopAfter) {
    Stop();
  }
  EXPECT_EQ(mServer->InFlight(), 0U);
  bool ended = false;
  ASSERT_TRUE(RunUntil([&] {
    const bool finished = mServer->Unfinished() == 0;
    for (int i = 0; i < 4 && !ended; ++i) {
      ended = ReadSome(pace);
    }
    EXPECT_TRUE(!finished || ended || mRead.ends_with("!"));
    return ended;
  }));
  EXPECT_EQ(Count("HTTP/1.1 200"), static_cast<std::size_t>(requests));
  EXPECT_EQ(Count("!"), static_cast<std::size_t>(requests));
  EXPECT_GE(mRead.size(), size * static_cast<std::size_t>(requests));
  close(mCaller);
  mCaller = -1;
  EXPECT_TRUE(RunUntil([&] { return mServer->Connections() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(
  Matrix,
  ResponseDeliveryTest,
  testing::Combine(testing::Values(std::size_t{ 1 },
                                   std::size_t{ 100'000 },
                                   std::size_t{ 2 } << 20),
                   testing::Values(Pace::AtOnce, Pace::Slow),
                   testing::Values(Ending::Requested,
                                   Ending::StopBefore,
                                   Ending::StopAfter,
                                   Ending::StopWithPipelinedRequests)),
  NameOf);

// Guards against a process that outlives its stop because a caller does not
// close its connection.
TEST_F(ResponseDelivery, ConnectionThatTheCallerKeepsOpenEndsInTime)
{
  Listen();
  ConnectCaller(Pace::AtOnce);
  SendRequests(1, "Connection: close\r\n");
  mExchanges[0]->Respond({ .mBody = "x" });
  RunFor(Millis{ 100 });
  EXPECT_EQ(mServer->Unfinished(), 1U);
  EXPECT_TRUE(RunUntil([&] { return mServer->Connections() == 0; }));
}

} // namespace
} // namespace papayaway
