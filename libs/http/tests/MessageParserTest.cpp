#include <http/MessageParser.h>

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <http/HttpText.h>

namespace papayaway {
namespace {

struct Parsed
{
  std::vector<HttpMessage> mMessages;
  ParseFailure mFailure = ParseFailure::None;
};

Parsed
Parse(MessageParser::Kind aKind,
      const std::string& aBytes,
      std::size_t aSegmentSize,
      ParserLimits aLimits = {})
{
  Parsed parsed;
  MessageParser parser(aKind, aLimits, [&](HttpMessage aMessage) {
    parsed.mMessages.push_back(std::move(aMessage));
    return true;
  });
  for (std::size_t at = 0; at < aBytes.size(); at += aSegmentSize) {
    parser.Feed(std::string_view(aBytes).substr(at, aSegmentSize));
  }
  parsed.mFailure = parser.Failure();
  return parsed;
}

Parsed
ParseRequest(const std::string& aBytes, ParserLimits aLimits = {})
{
  return Parse(MessageParser::Kind::Request, aBytes, aBytes.size(), aLimits);
}

// Guards against parsed messages that depend on how the bytes are split into
// segments.
RC_GTEST_PROP(MessageParser, MessagesDoNotDependOnSegmentation, ())
{
  const std::string bytes = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 5\r\n\r\nhello"
                            "GET /e HTTP/1.1\r\nHost: y\r\n\r\n"
                            "PUT /f HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const auto segmentSize = *rc::gen::inRange<std::size_t>(1, bytes.size());
  const Parsed parsed = Parse(MessageParser::Kind::Request, bytes, segmentSize);
  RC_ASSERT(parsed.mMessages.size() == 3U);
  RC_ASSERT(parsed.mMessages[0].mTarget == "/a/b?c=d");
  RC_ASSERT(parsed.mMessages[0].mBody == "hello");
  RC_ASSERT(parsed.mMessages[1].mMethod == "GET");
  RC_ASSERT(parsed.mMessages[2].mBody == "abcde");
}

// Guards against request smuggling: a target could take part of the body of one
// request for a request of its own.
TEST(MessageParser, AmbiguousLengthsAreMalformed)
{
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const std::string fields :
       { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 5\r\nContent-Length: 6\r\n",
         "Content-Length: -5\r\n",
         "Content-Length: 5x\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: xchunked\r\n",
         "Transfer-Encoding : chunked\r\n",
         "Content-Length : 5\r\n" }) {
    const Parsed parsed =
      ParseRequest(start + fields + "\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    EXPECT_EQ(parsed.mFailure, ParseFailure::Malformed) << fields;
    EXPECT_TRUE(parsed.mMessages.empty()) << fields;
  }
}

TEST(MessageParser, LimitsAreEnforced)
{
  const std::string large =
    "GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n";
  EXPECT_EQ(ParseRequest(large, { .mMaxHeaderBytes = 100 }).mFailure,
            ParseFailure::HeadersTooLarge);
  const std::string body = "POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n";
  EXPECT_EQ(ParseRequest(body, { .mMaxBodyBytes = 100 }).mFailure,
            ParseFailure::BodyTooLarge);
  const std::string chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                             "\r\n\r\nff\r\n" +
                             std::string(255, 'a') + "\r\n0\r\n\r\n";
  EXPECT_EQ(ParseRequest(chunks, { .mMaxBodyBytes = 100 }).mFailure,
            ParseFailure::BodyTooLarge);
}

// Guards against reporting a response without a length as complete before the
// peer has closed the connection.
TEST(MessageParser, OnlyOrderlyCloseCompletesResponseWithoutLength)
{
  std::vector<HttpMessage> messages;
  MessageParser parser(
    MessageParser::Kind::Response, {}, [&](HttpMessage aMessage) {
      messages.push_back(std::move(aMessage));
      return true;
    });
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nhalf");
  EXPECT_TRUE(messages.empty());
  parser.FeedEnd();
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_TRUE(messages[0].mEndedByClose);
  EXPECT_FALSE(messages[0].mKeepAlive);
}

TEST(MessageParser, CloseBeforeContentLengthGivesNoMessage)
{
  std::vector<HttpMessage> messages;
  MessageParser parser(
    MessageParser::Kind::Response, {}, [&](HttpMessage aMessage) {
      messages.push_back(std::move(aMessage));
      return true;
    });
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  parser.FeedEnd();
  EXPECT_TRUE(messages.empty());
}

// Guards against reading a message whose status is no status code for an
// interim response, and the bytes behind it for the response.
TEST(MessageParser, StatusBelow100IsMalformed)
{
  for (const char* const status : { "0", "00", "000", "001", "99", "099" }) {
    const std::string bytes = std::string("HTTP/1.1 ") + status +
                              " None\r\nContent-Length: 0\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t segment = 1; segment <= bytes.size(); ++segment) {
      const Parsed parsed =
        Parse(MessageParser::Kind::Response, bytes, segment);
      EXPECT_EQ(parsed.mFailure, ParseFailure::Malformed) << status;
      EXPECT_TRUE(parsed.mMessages.empty()) << status;
    }
  }
  for (const char* const status : { "100", "103", "200", "599" }) {
    const Parsed parsed = Parse(MessageParser::Kind::Response,
                                std::string("HTTP/1.1 ") + status +
                                  " Some\r\nContent-Length: 0\r\n\r\n",
                                1);
    EXPECT_EQ(parsed.mFailure, ParseFailure::None) << status;
    EXPECT_EQ(parsed.mMessages.size(), 1U) << status;
  }
}

// Guards against a line that hides the length of a body, or is passed on,
// because its field name has a blank or a control byte.
TEST(MessageParser, FieldNameWithBlankOrControlByteIsMalformed)
{
  std::vector<std::string> names = { "X A", "X-A ", " X-A", "\tX-A", "X-A\t" };
  for (int control = 0; control < 32; ++control) {
    names.push_back(std::string("X") + static_cast<char>(control) + "A");
  }
  names.push_back("X\x7f"
                  "A");
  for (const std::string& name : names) {
    for (const std::string& before :
         { std::string(), std::string("B: c\r\n") }) {
      const std::string bytes = "HTTP/1.1 200 OK\r\n" + before + name +
                                ": v\r\nContent-Length: 0\r\n\r\n";
      for (std::size_t segment = 1; segment <= bytes.size(); ++segment) {
        const Parsed parsed =
          Parse(MessageParser::Kind::Response, bytes, segment);
        EXPECT_EQ(parsed.mFailure, ParseFailure::Malformed)
          << bytes << " in segments of " << segment;
        EXPECT_TRUE(parsed.mMessages.empty());
      }
    }
  }
}

// Guards against forwarding fields that apply to one connection only.
TEST(HttpText, ConnectionFieldsAreNotForwarded)
{
  const HttpHeaders headers = { { "Host", "x" },
                                { "Connection", "close, X-Hop" },
                                { "X-Hop", "1" },
                                { "Keep-Alive", "timeout=5" },
                                { "Transfer-Encoding", "chunked" },
                                { "Content-Length", "5" },
                                { "X-Own", "2" } };
  EXPECT_EQ(EndToEndHeaders(headers),
            (HttpHeaders{ { "Host", "x" }, { "X-Own", "2" } }));
}

TEST(HttpText, RequestTextParsesBack)
{
  const HttpMessage message{ .mMethod = "PUT",
                             .mTarget = "/a?b",
                             .mHeaders = { { "Host", "x" } },
                             .mBody = "body" };
  const Parsed parsed = ParseRequest(RequestText(message));
  ASSERT_EQ(parsed.mMessages.size(), 1U);
  EXPECT_EQ(parsed.mMessages[0].mBody, "body");
  EXPECT_EQ(parsed.mMessages[0].mTarget, "/a?b");
}

} // namespace
} // namespace papayaway
