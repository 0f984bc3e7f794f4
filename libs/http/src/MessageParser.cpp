#include <http/MessageParser.h>

#include <climits>
#include <utility>

#include <http_parser.h>

namespace papayaway {

namespace {

/** The smallest status code of HTTP (RFC 9110 section 15). */
constexpr int kMinStatus = 100;

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

} // namespace

struct MessageParser::Impl
{
  Kind mKind;
  ParserLimits mLimits;
  MessageCallback mCallback;
  std::function<void(const HttpMessage&)> mOnHeaders;
  http_parser mParser{};
  HttpMessage mMessage;
  std::string mField;
  std::string mValue;
  bool mInValue = false;
  bool mInMessage = false;
  bool mInHeaders = false;
  bool mNoBody = false;
  bool mAtEndOfStream = false;
  /** Whether the message callback asked to stop during the last Execute(). */
  bool mPaused = false;
  /** Whether the last byte parsed ended a line. */
  bool mAtLineStart = false;
  std::size_t mHeaderBytes = 0;
  ParseFailure mFailure = ParseFailure::None;

  Impl(Kind aKind, ParserLimits aLimits, MessageCallback aCallback)
    : mKind(aKind)
    , mLimits(aLimits)
    , mCallback(std::move(aCallback))
  {
    http_parser_init(&mParser,
                     aKind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    mParser.data = this;
  }

  static Impl& Of(http_parser* aParser)
  {
    return *static_cast<Impl*>(aParser->data);
  }

  int Fail(ParseFailure aFailure)
  {
    mFailure = aFailure;
    return 1;
  }

  int OnBegin()
  {
    mMessage = HttpMessage{};
    mField.clear();
    mValue.clear();
    mInValue = false;
    mInMessage = true;
    mInHeaders = true;
    mHeaderBytes = 0;
    return 0;
  }

  int CountHeaderBytes(std::size_t aBytes)
  {
    mHeaderBytes += aBytes;
    return mHeaderBytes > mLimits.mMaxHeaderBytes
             ? Fail(ParseFailure::HeadersTooLarge)
             : 0;
  }

  int FinishField()
  {
    if (mField.empty() && !mInValue) {
      return 0;
    }
    if (!IsToken(mField)) {
      return Fail(ParseFailure::Malformed);
    }
    if (EqualIgnoringCase(mField, "Transfer-Encoding") &&
        !EqualIgnoringCase(mValue, "chunked")) {
      return Fail(ParseFailure::Malformed);
    }
    // Fields after the header section are trailers, which are discarded.
    if (mInHeaders) {
      mMessage.mHeaders.Add(std::move(mField), std::move(mValue));
    }
    mField.clear();
    mValue.clear();
    mInValue = false;
    return 0;
  }

  int OnField(const char* aData, std::size_t aSize)
  {
    if (mInValue && FinishField() != 0) {
      return 1;
    }
    mField.append(aData, aSize);
    return CountHeaderBytes(aSize);
  }

  int OnValue(const char* aData, std::size_t aSize)
  {
    mInValue = true;
    mValue.append(aData, aSize);
    return CountHeaderBytes(aSize);
  }

  int OnHeadersComplete()
  {
    if (FinishField() != 0) {
      return -1;
    }
    mInHeaders = false;
    mMessage.mChunked = (mParser.flags & F_CHUNKED) != 0;
    mMessage.mStatus = static_cast<int>(mParser.status_code);
    if (mKind == Kind::Response && mMessage.mStatus < kMinStatus) {
      Fail(ParseFailure::Malformed);
      return -1;
    }
    if (mKind == Kind::Request) {
      mMessage.mMethod =
        http_method_str(static_cast<http_method>(mParser.method));
    }
    const bool hasLength = mParser.content_length != ULLONG_MAX;
    if (hasLength && mParser.content_length > mLimits.mMaxBodyBytes) {
      Fail(ParseFailure::BodyTooLarge);
      return -1;
    }
    if (mOnHeaders) {
      mOnHeaders(mMessage);
    }
    return mNoBody ? 1 : 0;
  }

  int OnBody(const char* aData, std::size_t aSize)
  {
    if (mMessage.mBody.size() + aSize > mLimits.mMaxBodyBytes) {
      return Fail(ParseFailure::BodyTooLarge);
    }
    mMessage.mBody.append(aData, aSize);
    return 0;
  }

  int OnComplete()
  {
    if (FinishField() != 0) {
      return 1;
    }
    mInMessage = false;
    mMessage.mKeepAlive = http_should_keep_alive(&mParser) != 0;
    mMessage.mEndedByClose = mAtEndOfStream;
    if (!mCallback(std::move(mMessage))) {
      http_parser_pause(&mParser, 1);
    }
    return 0;
  }

  static const http_parser_settings& Settings()
  {
    static const http_parser_settings settings = [] {
      http_parser_settings result{};
      result.on_message_begin = [](http_parser* aParser) {
        return Of(aParser).OnBegin();
      };
      result.on_url =
        [](http_parser* aParser, const char* aData, size_t aSize) {
          Impl& impl = Of(aParser);
          impl.mMessage.mTarget.append(aData, aSize);
          return impl.CountHeaderBytes(aSize);
        };
      result.on_header_field =
        [](http_parser* aParser, const char* aData, size_t aSize) {
          return Of(aParser).OnField(aData, aSize);
        };
      result.on_header_value =
        [](http_parser* aParser, const char* aData, size_t aSize) {
          return Of(aParser).OnValue(aData, aSize);
        };
      result.on_headers_complete = [](http_parser* aParser) {
        return Of(aParser).OnHeadersComplete();
      };
      result.on_body =
        [](http_parser* aParser, const char* aData, size_t aSize) {
          return Of(aParser).OnBody(aData, aSize);
        };
      result.on_message_complete = [](http_parser* aParser) {
        return Of(aParser).OnComplete();
      };
      return result;
    }();
    return settings;
  }

  std::size_t Execute(const char* aData, std::size_t aSize)
  {
    const std::size_t consumed =
      http_parser_execute(&mParser, &Settings(), aData, aSize);
    const http_errno error = HTTP_PARSER_ERRNO(&mParser);
    mPaused = error == HPE_PAUSED;
    if (mPaused) {
      http_parser_pause(&mParser, 0);
    } else if ((error != HPE_OK || mParser.upgrade != 0) &&
               mFailure == ParseFailure::None) {
      mFailure = error == HPE_HEADER_OVERFLOW ? ParseFailure::HeadersTooLarge
                                              : ParseFailure::Malformed;
    }
    return consumed;
  }

  /** Parses the bytes of a response, its header line by line, and rejects
   *  header lines that begin with a blank. http_parser would append them to the
   *  value of the previous field; a proxy may reject the response instead
   *  (RFC 9112 section 5.2).
   *  @return the number of bytes consumed. */
  std::size_t ExecuteByLine(std::string_view aBytes)
  {
    std::size_t consumed = 0;
    while (consumed < aBytes.size() && mFailure == ParseFailure::None) {
      const std::string_view rest = aBytes.substr(consumed);
      if (mInHeaders && mAtLineStart && IsBlank(rest.front())) {
        mFailure = ParseFailure::Malformed;
        break;
      }
      const bool inBody = mInMessage && !mInHeaders;
      const std::size_t lineEnd = inBody ? rest.npos : rest.find('\n');
      const std::string_view part =
        lineEnd == rest.npos ? rest : rest.substr(0, lineEnd + 1);
      const std::size_t parsed = Execute(part.data(), part.size());
      consumed += parsed;
      if (mPaused || parsed < part.size()) {
        break;
      }
      mAtLineStart = lineEnd != rest.npos;
    }
    return consumed;
  }
};

MessageParser::MessageParser(Kind aKind,
                             ParserLimits aLimits,
                             MessageCallback aCallback)
  : mImpl(std::make_unique<Impl>(aKind, aLimits, std::move(aCallback)))
{
}

MessageParser::~MessageParser() = default;

void
MessageParser::OnHeaders(std::function<void(const HttpMessage&)> aCallback)
{
  mImpl->mOnHeaders = std::move(aCallback);
}

void
MessageParser::ExpectNoBody(bool aNoBody)
{
  mImpl->mNoBody = aNoBody;
}

void
MessageParser::SetLimits(ParserLimits aLimits)
{
  mImpl->mLimits = aLimits;
}

std::size_t
MessageParser::Feed(std::string_view aBytes)
{
  if (mImpl->mFailure != ParseFailure::None || aBytes.empty()) {
    return 0;
  }
  return mImpl->mKind == Kind::Response
           ? mImpl->ExecuteByLine(aBytes)
           : mImpl->Execute(aBytes.data(), aBytes.size());
}

void
MessageParser::FeedEnd()
{
  if (mImpl->mFailure == ParseFailure::None) {
    mImpl->mAtEndOfStream = true;
    mImpl->Execute(nullptr, 0);
  }
}

ParseFailure
MessageParser::Failure() const
{
  return mImpl->mFailure;
}

bool
MessageParser::InMessage() const
{
  return mImpl->mInMessage;
}

bool
MessageParser::InHeaders() const
{
  return mImpl->mInMessage && mImpl->mInHeaders;
}

} // namespace papayaway
