#pragma once

#include <string>
#include <string_view>

#include <netinet/in.h>

#include <base/Error.h>

namespace papayaway {

/** Parses "IPv4:port".
 *  @return the address, or an error that quotes aText. */
Expected<sockaddr_in> ParseAddress(std::string_view aText);

/** @return "IPv4:port". */
std::string FormatAddress(const sockaddr_in& aAddress);

/** A non-blocking socket that listens. */
struct ListeningSocket
{
  int mDescriptor = -1;
  /** The bound address as "IPv4:port". */
  std::string mAddress;
};

/** Binds "IPv4:port" and listens; port 0 selects a free port. The caller owns
 *  the descriptor.
 *  @return the socket, or an error that names the address. */
Expected<ListeningSocket> ListenOn(const std::string& aAddress);

} // namespace papayaway
