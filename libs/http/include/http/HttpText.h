#pragma once

#include <string>

#include <http/MessageParser.h>

namespace papayaway {

/** @return the bytes of a response with a Content-Length.
 *  @param aClose whether to tell that the connection ends.
 *  @param aNoBody whether to leave the body out, for HEAD. */
std::string ResponseText(const HttpMessage& aResponse,
                         bool aClose,
                         bool aNoBody);

/** @return the bytes of a request; a body gets a Content-Length. */
std::string RequestText(const HttpMessage& aRequest);

/** @return the fields that concern the message rather than one connection:
 *    without Connection and what it names, framing and hop-by-hop fields. */
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders);

} // namespace papayaway
