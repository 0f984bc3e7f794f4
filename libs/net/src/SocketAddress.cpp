#include <net/SocketAddress.h>

#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace papayaway {

namespace {

constexpr int kListenBacklog = 1024;

} // namespace

Expected<sockaddr_in>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon != std::string_view::npos) {
    const std::string ip(aText.substr(0, colon));
    const std::string_view digits = aText.substr(colon + 1);
    std::uint16_t port = 0;
    const char* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (!digits.empty() && parsed.ec == std::errc() && parsed.ptr == end &&
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1) {
      address.sin_port = htons(port);
      return address;
    }
  }
  return Fail(ErrorCode::Invalid,
              "\"" + std::string(aText) + "\" is not IPv4:port");
}

std::string
FormatAddress(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &aAddress.sin_addr, ip.data(), ip.size());
  return std::string(ip.data()) + ":" +
         std::to_string(ntohs(aAddress.sin_port));
}

Expected<ListeningSocket>
ListenOn(const std::string& aAddress)
{
  Expected<sockaddr_in> address = ParseAddress(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t length = sizeof(*address);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&*address), length) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(descriptor);
    return Fail(ErrorCode::Unavailable,
                "can't listen on " + aAddress + ": " + reason);
  }
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&*address), &length);
  return ListeningSocket{ .mDescriptor = descriptor,
                          .mAddress = FormatAddress(*address) };
}

} // namespace papayaway
