#include <array>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <lab/LoopWait.h>
#include <lab/ScriptedServer.h>
#include <net/HttpClient.h>
#include <net/PeerSocket.h>

namespace papayaway {
namespace {

using Ending = ScriptedResponse::Ending;

/** A server with a scripted response, and a client of it. */
class BrokenResponse : public testing::Test
{
protected:
  /** Sends a request that gets mResponse.
   *  @return the result; a timeout if it does not arrive in time. */
  HttpResult Call(std::size_t aBodySize = 0)
  {
    HttpResult result{ .mFailure = HttpFailure::Timeout };
    bool done = false;
    HttpCall call{ .mAddress = mServer.Address(),
                   .mTimeout = Seconds(3),
                   .mIdempotent = aBodySize == 0 };
    call.mRequest.mMethod = aBodySize > 0 ? "POST" : "GET";
    call.mRequest.mBody.assign(aBodySize, 'u');
    mClient.Send(std::move(call), [&](HttpResult aResult) {
      result = std::move(aResult);
      done = true;
    });
    EXPECT_TRUE(RunUntil(
      mLoop, [&] { return done; }, Seconds(10)));
    return result;
  }

  /** Checks that none of the responses is passed on, that each request reached
   *  the server once, and that the connections are not used again. Some
   *  malformed responses are rejected by libcurl, as a lost connection. */
  void ExpectLost(const std::vector<ScriptedResponse>& aResponses,
                  std::size_t aBodySize = 0)
  {
    std::string passedOn;
    for (const ScriptedResponse& response : aResponses) {
      mResponse = response;
      const int requests = mServer.Requests();
      const HttpResult result = Call(aBodySize);
      const bool lost = result.mFailure == HttpFailure::ConnectionLost ||
                        result.mFailure == HttpFailure::Malformed;
      if (!lost || !result.mMayHaveRun) {
        passedOn += "failure " +
                    std::to_string(static_cast<int>(result.mFailure)) +
                    ", status " + std::to_string(result.mResponse.mStatus) +
                    " to " + response.mBytes.substr(0, 60) + "\n";
      }
      EXPECT_EQ(mServer.Requests(), requests + 1);
      mResponse = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                    "Connection: close\r\n\r\nwhole" };
      EXPECT_EQ(Call().mResponse.mBody, "whole");
    }
    EXPECT_EQ(mServer.MostRequestsOnAConnection(), 1);
    EXPECT_EQ(passedOn, "") << "of " << aResponses.size();
  }

  EventLoop mLoop;
  ScriptedResponse mResponse;
  ScriptedServer mServer{ mLoop,
                          [this](const std::string&) { return mResponse; } };
  HttpClient mClient{ mLoop, {} };
};

// Guards against a part of a response that is taken for the whole: the server
// responds without a length before it has read a long request, and resets the
// connection while the request is still being written.
TEST_F(BrokenResponse, ResetDuringAnUploadIsNoEndOfTheResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const double timeToReset : { 0., 1., 5., 30. }) {
    for (const std::size_t partSize : { 4U, 200U << 10 }) {
      for (const char* const start :
           { "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
             "HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n" }) {
        responses.push_back({ start + std::string(partSize, 'p'),
                              Ending::Reset,
                              Millis{ timeToReset },
                              false });
      }
    }
  }
  for (const std::size_t mebibytes : { 8U, 12U, 20U }) {
    ExpectLost(responses, mebibytes << 20);
  }
}

// Guards against passing on a response whose status is no status code; libcurl
// rejects it.
TEST_F(BrokenResponse, StatusBelow100IsNoResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const char* const status : { "000", "001", "020", "099" }) {
    const std::string start =
      std::string("HTTP/1.1 ") + status + " None\r\nOutcome: not-run\r\n";
    responses.push_back({ start + "Content-Length: 4\r\n\r\npart" });
    responses.push_back({ start + "\r\npart", Ending::Close });
    responses.push_back(
      { start + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n" });
    responses.push_back({ start + "Content-Length: 0\r\n\r\n"
                                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
                                  "part" });
  }
  ExpectLost(responses);
  ExpectLost(responses, 10);
}

// Guards against a crash: libcurl would append a folded first header line to
// the last one of the response before it.
TEST_F(BrokenResponse, FoldedFirstHeaderLineIsNoPartOfAnotherResponse)
{
  for (int i = 0; i < 5; ++i) {
    mResponse = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Last: " +
                  std::string(100, 'x') + "\r\n\r\nwhole" };
    EXPECT_EQ(Call().mResponse.mBody, "whole");
    mResponse = { "HTTP/1.1 200 OK\r\n folded\r\nContent-Length: 4\r\n\r\n"
                  "part" };
    EXPECT_NE(Call().mFailure, HttpFailure::None);
  }
}

// Guards against passing on a header line whose field name can't be read, or
// the body of a response whose length such a line hides.
TEST_F(BrokenResponse, FieldNameWithBlankOrControlByteIsNoResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const std::string& line : { std::string("X Bad: v"),
                                   std::string("X-Bad : v"),
                                   std::string(" X-Bad: v"),
                                   std::string("\tX-Bad: v"),
                                   std::string("X\tBad: v"),
                                   std::string("X-Bad\t: v"),
                                   std::string("X\x01"
                                               "Bad: v"),
                                   std::string("X\x7f"
                                               "Bad: v"),
                                   std::string("X\0Bad: v", 8),
                                   std::string(": v"),
                                   std::string("HTTP/1.1 X: v"),
                                   std::string("no field") }) {
    const std::string length = "Content-Length: 4\r\n";
    responses.push_back(
      { "HTTP/1.1 200 OK\r\n" + line + "\r\n" + length + "\r\npart" });
    responses.push_back(
      { "HTTP/1.1 200 OK\r\n" + length + line + "\r\n\r\npart" });
    responses.push_back(
      { "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\npart", Ending::Close });
    responses.push_back({ "HTTP/1.1 103 Early Hints\r\n" + line +
                          "\r\n\r\nHTTP/1.1 200 OK\r\n" + length +
                          "\r\npart" });
  }
  for (const char* const line : { "Content-Length : 4",
                                  "Content-Length\t: 4",
                                  "Transfer-Encoding : chunked" }) {
    responses.push_back({ std::string("HTTP/1.1 200 OK\r\n") + line +
                            "\r\n\r\n4\r\npart\r\n0\r\n\r\n",
                          Ending::Close });
  }
  ExpectLost(responses);
}

/** @return the value of Sec-WebSocket-Accept for this Sec-WebSocket-Key
 *    (RFC 6455 section 4.2.2). */
std::string
AcceptValue(const std::string& aKey)
{
  const std::string text = aKey + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  std::array<unsigned char, SHA_DIGEST_LENGTH> digest{};
  SHA1(reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       digest.data());
  std::array<unsigned char, 4 * SHA_DIGEST_LENGTH> encoded{};
  const int length =
    EVP_EncodeBlock(encoded.data(), digest.data(), digest.size());
  return { encoded.begin(), encoded.begin() + length };
}

/** Opens a link to a server that answers the handshake with these lines.
 *  @return whether the link was opened rather than closed. */
bool
HandshakeOpensLink(const std::string& aLines)
{
  EventLoop loop;
  ScriptedServer server(loop, [&](const std::string& aHeader) {
    return ScriptedResponse{
      aLines +
      "Upgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Accept: " +
      AcceptValue(HeaderField(aHeader, "Sec-WebSocket-Key")) + "\r\n\r\n"
    };
  });
  bool opened = false;
  bool closed = false;
  const auto link = PeerSocket::Connect(
    loop,
    server.Address(),
    "secret",
    { .mOpened = [&] { opened = true; },
      .mClosed = [&](const std::string&) { closed = true; } });
  EXPECT_TRUE(RunUntil(
    loop, [&] { return opened || closed; }, Seconds(3)));
  return opened;
}

// Guards against a link to a server whose handshake is broken.
TEST(PeerHandshake, BrokenResponseOpensNoLink)
{
  const std::string start = "HTTP/1.1 101 Switching Protocols\r\n";
  EXPECT_TRUE(HandshakeOpensLink(start));
  EXPECT_TRUE(HandshakeOpensLink(start + "X-Good: v\r\n"));
  for (const std::string& lines : { std::string("HTTP/1.1 000 None\r\n"),
                                    std::string("HTTP/1.1 200 OK\r\n"),
                                    start + "X Bad: v\r\n",
                                    start + "X-Bad : v\r\n",
                                    start + "X\x01"
                                            "Bad: v\r\n" }) {
    EXPECT_FALSE(HandshakeOpensLink(lines)) << lines;
  }
}

} // namespace
} // namespace papayaway
