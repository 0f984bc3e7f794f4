#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <net/Http.h>

namespace papayaway {

/** A complete HTTP/1.1 request or response. */
struct HttpMessage
{
  /** Requests only. */
  std::string mMethod;
  /** Requests only: the path with its query, as received. */
  std::string mTarget;
  /** Responses only. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Whether the connection can carry another message. */
  bool mKeepAlive = false;
  /** Responses only: whether the body was delimited by the end of the
   *  connection, having neither Content-Length nor chunks. */
  bool mEndedByClose = false;
  /** Whether the body was sent with the chunked transfer coding. */
  bool mChunked = false;

  bool operator==(const HttpMessage&) const = default;
};

/** Why the parser rejected the bytes of a connection. */
enum class ParseFailure
{
  None,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
};

/** Size limits of one message. */
struct ParserLimits
{
  /** Limit for the request target and the header fields together. */
  std::size_t mMaxHeaderBytes = std::size_t{ 64 } << 10;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
};

/**
 * Parses the bytes of one connection into messages.
 *
 * A response is malformed if its status is below 100, or if one of its header
 * lines begins with a blank. Requests whose length is ambiguous (both
 * Content-Length and Transfer-Encoding, an unknown transfer coding, invalid
 * header names) are malformed: another HTTP implementation could split the same
 * bytes into other requests, which allows request smuggling.
 */
class MessageParser
{
public:
  enum class Kind
  {
    Request,
    Response,
  };
  /** Receives each complete message in order.
   *  @return whether to continue parsing. */
  using MessageCallback = std::function<bool(HttpMessage)>;

  MessageParser(Kind aKind, ParserLimits aLimits, MessageCallback aCallback);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Sets the callback that runs when the header fields of a message are
   *  complete. */
  void OnHeaders(std::function<void(const HttpMessage&)> aCallback);

  /** Sets whether the next responses have no body, as those to a HEAD
   *  request. */
  void ExpectNoBody(bool aNoBody);

  void SetLimits(ParserLimits aLimits);

  /** Parses the next bytes. After a failure the parser consumes nothing more.
   *  @return the number of bytes consumed; less than the size of aBytes after
   *    a failure or when the message callback returned false. */
  std::size_t Feed(std::string_view aBytes);

  /** Reports that the peer closed the connection in an orderly way. Completes
   *  a response whose body is delimited by the end of the connection. */
  void FeedEnd();

  [[nodiscard]] ParseFailure Failure() const;

  /** @return whether a message has begun and is incomplete. */
  [[nodiscard]] bool InMessage() const;

  /** @return whether a message has begun and its header fields are
   *    incomplete. */
  [[nodiscard]] bool InHeaders() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
