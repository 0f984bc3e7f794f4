#pragma once

#include <string>

#include <http/MessageParser.h>

namespace papayaway {

/** Serialises a response; adds Content-Length.
 *  @param aClose whether to add "Connection: close".
 *  @param aNoBody whether to omit the body, as for a HEAD request. */
std::string ResponseText(const HttpMessage& aResponse,
                         bool aClose,
                         bool aNoBody);

/** Serialises a request; adds Content-Length if there is a body or the method
 *  is POST, PUT or PATCH. */
std::string RequestText(const HttpMessage& aRequest);

/** @return the fields to forward: all but the framing fields, the hop-by-hop
 *    fields and the fields named by Connection. */
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders);

} // namespace papayaway
