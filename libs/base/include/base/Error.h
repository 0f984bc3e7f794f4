#pragma once

#include <string>

#include <tl/expected.hpp>

namespace papayaway {

/** The kind of a failure, by which callers decide how to react. */
enum class ErrorCode
{
  Invalid,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  /** It is not known whether the operation had an effect. */
  OutcomeUnknown,
  Refused,
  TooLarge,
  Internal,
};

/** A failure with a short human-readable message. */
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

template<typename T>
using Expected = tl::expected<T, Error>;

/** @return an error that converts to any Expected. */
inline tl::unexpected<Error>
Fail(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace papayaway
