#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <net/Http.h>

namespace papayaway {

/** A whole HTTP/1.1 request or response. */
struct HttpMessage
{
  /** Of a request. */
  std::string mMethod;
  /** Of a request: the path with its query, as received. */
  std::string mTarget;
  /** Of a response. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  /** Whether the connection can carry another message. */
  bool mKeepAlive = false;
  /** Of a response: whether the end of the connection was its only end. */
  bool mEndedByClose = false;
  /** Whether the body came in chunks. */
  bool mChunked = false;

  bool operator==(const HttpMessage&) const = default;
};

/** Why a stream is not a sequence of acceptable messages. */
enum class ParseFailure
{
  None,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
};

/** What a parser accepts. */
struct ParserLimits
{
  /** Bytes of the start line and the header fields together. */
  std::size_t mMaxHeaderBytes = std::size_t{ 64 } << 10;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
};

/**
 * Turns the bytes of one connection into messages.
 *
 * Requests whose length is ambiguous (Content-Length beside
 * Transfer-Encoding, an unknown transfer coding, odd header names) are
 * malformed, because another reader could see another request in them.
 */
class MessageParser
{
public:
  enum class Kind
  {
    Request,
    Response,
  };
  /** Receives each whole message in order; returns whether to go on. */
  using MessageCallback = std::function<bool(HttpMessage)>;

  MessageParser(Kind aKind, ParserLimits aLimits, MessageCallback aCallback);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Registers what runs when the header fields of a message are whole. */
  void OnHeaders(std::function<void(const HttpMessage&)> aCallback);

  /** Tells that the next response answers a HEAD request. */
  void ExpectNoBody(bool aNoBody);

  void SetLimits(ParserLimits aLimits);

  /** Takes in bytes. After a failure the parser accepts nothing more.
   *  @return the bytes consumed; fewer than given after a failure or when
   *    the callback asked to stop. */
  std::size_t Feed(std::string_view aBytes);

  /** Tells that the peer closed its side in order; ends a response that has
   *  no other end. */
  void FeedEnd();

  [[nodiscard]] ParseFailure Failure() const;

  /** @return whether a message has begun and is not whole. */
  [[nodiscard]] bool InMessage() const;

  /** @return whether the header fields of the message are not whole. */
  [[nodiscard]] bool InHeaders() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace papayaway
