#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/SocketAddress.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

constexpr Millis kTestTimeout = Seconds(20);

// Sends a call and runs aLoop until it has ended.
HttpResult
CallAndWait(EventLoop& aLoop, HttpClient& aClient, HttpCall aCall)
{
  std::optional<HttpResult> result;
  aClient.Send(std::move(aCall), [&](HttpResult aResult) {
    result = std::move(aResult);
    aLoop.Stop();
  });
  Timer timeoutTimer(aLoop, [&] { aLoop.Stop(); });
  timeoutTimer.StartOnce(kTestTimeout);
  aLoop.Run();
  return result.value_or(HttpResult{ HttpFailure::Timeout, {}, true, "" });
}

// What ClosingServer does with the second request of a connection.
enum class SecondRequestAction
{
  Close,
  Ignore,
  RepeatResponse,
  /** Sends header fields without end, also on the first request. */
  EndlessHeader,
  /** Ends the connection within the header fields, also on the first
   *  request. */
  EndWithinHeader,
};

// A server that responds to the first request of each connection only, with a
// refusal. On the second one it closes the connection without a response, as a
// crashing target does, sends nothing, like a host behind a firewall that lost
// its connection state, or sends the first response once more.
class ClosingServer
{
public:
  explicit ClosingServer(
    EventLoop& aLoop,
    SecondRequestAction aSecondRequestAction = SecondRequestAction::Close)
    : mLoop(aLoop)
    , mSecondRequestAction(aSecondRequestAction)
  {
    sockaddr_in address = *ParseAddress("127.0.0.1:0");
    socklen_t length = sizeof(address);
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    bind(mListener, reinterpret_cast<sockaddr*>(&address), length);
    listen(mListener, 16);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &length);
    mAddress = FormatAddress(address);
    mAccept = std::make_unique<IoWatcher>(
      mLoop, mListener, [this](bool, bool) { Accept(); });
    mAccept->Watch(true, false);
  }

  ~ClosingServer()
  {
    mConnections.clear();
    close(mListener);
    for (const int descriptor : mDescriptors) {
      close(descriptor);
    }
  }

  std::string mAddress;
  int mRequests = 0;
  /** How many bytes of the header EndWithinHeader sends. */
  std::size_t mHeaderBytesSent = 0;

  [[nodiscard]] std::size_t ConnectionCount() const
  {
    return mDescriptors.size();
  }

private:
  void Accept()
  {
    const int descriptor = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
    if (descriptor < 0) {
      return;
    }
    mDescriptors.push_back(descriptor);
    auto served = std::make_shared<int>(0);
    mConnections.push_back(std::make_unique<IoWatcher>(
      mLoop, descriptor, [this, descriptor, served](bool, bool) {
        std::array<char, 4096> buffer{};
        const ssize_t length = recv(descriptor, buffer.data(), 4096, 0);
        if (length <= 0) {
          shutdown(descriptor, SHUT_RDWR);
          return;
        }
        const std::string_view data(buffer.data(),
                                    static_cast<std::size_t>(length));
        if (data.find("HTTP/1.1") == std::string_view::npos) {
          return; // the body, which arrived in its own segment
        }
        ++mRequests;
        if (++*served > 1 &&
            mSecondRequestAction != SecondRequestAction::RepeatResponse) {
          if (mSecondRequestAction == SecondRequestAction::Close) {
            shutdown(descriptor, SHUT_RDWR);
          }
          return;
        }
        if (mSecondRequestAction == SecondRequestAction::EndlessHeader) {
          std::string fields = "HTTP/1.1 200 OK\r\n";
          while (fields.size() < (std::size_t{ 128 } << 10)) {
            fields += "Field: value\r\n";
          }
          send(descriptor, fields.data(), fields.size(), MSG_NOSIGNAL);
          return;
        }
        if (mSecondRequestAction == SecondRequestAction::EndWithinHeader) {
          constexpr std::string_view kHeader =
            "HTTP/1.1 200 OK\r\nOutcome: run\r\nContent-Length: 2\r\n\r\n";
          send(descriptor, kHeader.data(), mHeaderBytesSent, MSG_NOSIGNAL);
          shutdown(descriptor, SHUT_RDWR);
          return;
        }
        constexpr std::string_view kResponse =
          "HTTP/1.1 200 OK\r\nOutcome: not-run\r\nContent-Length: 2\r\n\r\nok";
        send(descriptor, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
      }));
    mConnections.back()->Watch(true, false);
  }

  EventLoop& mLoop;
  SecondRequestAction mSecondRequestAction;
  int mListener = -1;
  std::unique_ptr<IoWatcher> mAccept;
  std::vector<std::unique_ptr<IoWatcher>> mConnections;
  std::vector<int> mDescriptors;
};

// Guards against libcurl retrying a request by itself on a reused connection,
// which would run a bid twice.
TEST(HttpClient, NonIdempotentCallIsNotRetriedByLibcurl)
{
  for (const std::string body : { "", "amount=5" }) {
    EventLoop loop;
    ClosingServer server(loop);
    HttpClient client(loop, {});
    HttpCall call{ .mAddress = server.mAddress, .mIdempotent = false };
    call.mRequest.mMethod = "POST";
    call.mRequest.mBody = "warm-up";
    EXPECT_EQ(CallAndWait(loop, client, call).mFailure, HttpFailure::None);
    call.mRequest.mBody = body;
    const HttpResult second = CallAndWait(loop, client, call);
    EXPECT_EQ(server.mRequests, 2);
    if (!body.empty()) {
      EXPECT_EQ(second.mFailure, HttpFailure::ConnectionLost);
      EXPECT_TRUE(second.mMayHaveRun);
    }
  }
}

// Guards against losing one call for each pooled connection when none of them
// responds any more.
TEST(HttpClient, ExcludedConnectionsAreNotReused)
{
  EventLoop loop;
  ClosingServer server(loop, SecondRequestAction::Ignore);
  HttpClient client(loop, {});
  const HttpCall call{ .mAddress = server.mAddress, .mTimeout = { 300 } };
  int answered = 0;
  for (int i = 0; i < 2; ++i) {
    client.Send(call, [&](const HttpResult& aResult) {
      EXPECT_EQ(aResult.mFailure, HttpFailure::None);
      if (++answered == 2) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  EXPECT_EQ(CallAndWait(loop, client, call).mFailure, HttpFailure::Timeout);
  client.ExcludeOpenConnections();
  EXPECT_EQ(CallAndWait(loop, client, call).mFailure, HttpFailure::None);
}

// Guards against telling a caller that its request has not run because the
// target sends its refusal of an earlier request once more on the connection.
TEST(HttpClient, ConnectionIsNotReusedAfterARefusal)
{
  EventLoop loop;
  ClosingServer server(loop, SecondRequestAction::RepeatResponse);
  HttpClient client(loop,
                    { .mLastResponse = HeaderMatch{ "Outcome", "not-run" } });
  for (std::size_t calls = 1; calls <= 3; ++calls) {
    EXPECT_EQ(
      CallAndWait(loop, client, { .mAddress = server.mAddress }).mFailure,
      HttpFailure::None);
    EXPECT_EQ(server.ConnectionCount(), calls);
  }
}

// Guards against a server that fills the memory of its client, or occupies it
// until the timeout, by header fields without end.
TEST(HttpClient, EndlessHeaderFieldsEndTheCall)
{
  EventLoop loop;
  ClosingServer server(loop, SecondRequestAction::EndlessHeader);
  HttpClient client(loop, {});
  const HttpResult result = CallAndWait(
    loop, client, { .mAddress = server.mAddress, .mTimeout = Seconds(3) });
  EXPECT_EQ(result.mFailure, HttpFailure::TooLarge);
  EXPECT_TRUE(result.mMayHaveRun);
}

// Guards against passing on a response whose header ended early, as a success
// with an empty body.
TEST(HttpClient, ResponseThatEndsWithinItsHeaderIsLost)
{
  EventLoop loop;
  ClosingServer server(loop, SecondRequestAction::EndWithinHeader);
  HttpClient client(loop, {});
  // After the status line, within a field, after a field, and before the empty
  // line is complete.
  for (const std::size_t bytes : { 17U, 22U, 31U, 45U, 50U, 51U }) {
    server.mHeaderBytesSent = bytes;
    const HttpResult result =
      CallAndWait(loop, client, { .mAddress = server.mAddress });
    EXPECT_EQ(result.mFailure, HttpFailure::ConnectionLost) << bytes;
    EXPECT_TRUE(result.mMayHaveRun) << bytes;
  }
}

// Guards against reporting a refused connection as a call that may have run.
TEST(HttpClient, RefusedConnectionIsNotReportedAsRun)
{
  EventLoop loop;
  HttpClient client(loop, {});
  std::string address;
  {
    ClosingServer server(loop);
    address = server.mAddress;
  }
  const HttpResult result =
    CallAndWait(loop, client, { .mAddress = address, .mIdempotent = false });
  EXPECT_EQ(result.mFailure, HttpFailure::NotConnected);
  EXPECT_FALSE(result.mMayHaveRun);
}

// Guards against parts of a request that are lost or changed between client and
// server, and against a delayed response that does not resume the suspended
// connection.
TEST(HttpServer, DelayedResponseEchoesWholeRequest)
{
  EventLoop loop;
  std::vector<std::unique_ptr<Timer>> timers;
  auto server = HttpServer::Listen(
    loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      timers.push_back(std::make_unique<Timer>(loop, [aExchange] {
        const HttpRequest& request = aExchange->Request();
        HttpResponse response{ .mStatus = 202 };
        response.mBody =
          request.mMethod + " " + request.mPath + request.mQuery + " " +
          std::string(request.mHeaders.Value("x-name")) + " " + request.mBody;
        aExchange->Respond(std::move(response));
      }));
      timers.back()->StartOnce({ 20 });
    });
  ASSERT_TRUE(server.has_value());
  HttpClient client(loop, {});
  HttpCall call{ .mAddress = (*server)->Address() };
  call.mRequest = { .mMethod = "PUT",
                    .mPath = "/a%20b",
                    .mQuery = "?q=1",
                    .mHeaders = { { "X-Name", "value" } },
                    .mBody = std::string(100000, 'x') };
  const HttpResult result = CallAndWait(loop, client, call);
  EXPECT_EQ(result.mResponse.mStatus, 202);
  EXPECT_EQ(result.mResponse.mBody,
            "PUT /a%20b?q=1 value " + std::string(100000, 'x'));
}

// Guards against working on a request after its client has disconnected.
TEST(HttpServer, ReportsClientDisconnect)
{
  EventLoop loop;
  bool abandoned = false;
  auto server = HttpServer::Listen(
    loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->OnAbandoned([&] {
        abandoned = true;
        loop.Stop();
      });
    });
  ASSERT_TRUE(server.has_value());
  HttpClient client(loop, {});
  client.Send({ .mAddress = (*server)->Address(), .mTimeout = { 50 } },
              [](const HttpResult& aResult) {
                EXPECT_EQ(aResult.mFailure, HttpFailure::Timeout);
              });
  Timer timeoutTimer(loop, [&] { loop.Stop(); });
  timeoutTimer.StartOnce(kTestTimeout);
  loop.Run();
  EXPECT_TRUE(abandoned);
}

// Guards against an abort when a server stops before it has responded to all
// requests: libmicrohttpd aborts if a connection is suspended when it stops.
TEST(HttpServer, StopsWithPendingRequest)
{
  EventLoop loop;
  HttpClient client(loop, {});
  std::shared_ptr<HttpExchange> kept;
  auto server = HttpServer::Listen(
    loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      kept = aExchange;
      loop.Stop();
    });
  ASSERT_TRUE(server.has_value());
  client.Send({ .mAddress = (*server)->Address() }, [](const HttpResult&) {});
  loop.Run();
  ASSERT_TRUE(kept);
  EXPECT_EQ((*server)->Connections(), 1U);
  EXPECT_NE(kept->ConnectionId(), 0U);
  server->reset();
  kept->Respond({});
}

} // namespace
} // namespace papayaway
