#include <http/HttpText.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include <http_parser.h>

namespace papayaway {

namespace {

/** Fields that are not forwarded: the hop-by-hop fields of RFC 9110 section
 *  7.6.1, and the framing fields, which are generated for each connection. */
constexpr std::array<std::string_view, 10> kNotForwardedFields = {
  "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
  "Expect",     "Proxy-Authenticate"
};

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(" \t");
  return aText.substr(first, last - first + 1);
}

/** @return the names of the hop-by-hop fields listed in Connection fields. */
std::vector<std::string_view>
NamedByConnection(const HttpHeaders& aHeaders)
{
  std::vector<std::string_view> names;
  for (const auto& [name, value] : aHeaders.Fields()) {
    if (!EqualIgnoringCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      names.push_back(Trimmed(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view{}
                                             : rest.substr(comma + 1);
    }
  }
  return names;
}

void
AppendFields(const HttpHeaders& aHeaders, std::string& aText)
{
  for (const auto& [name, value] : aHeaders.Fields()) {
    aText.append(name).append(": ").append(value).append("\r\n");
  }
}

} // namespace

std::string
ResponseText(const HttpMessage& aResponse, bool aClose, bool aNoBody)
{
  std::string text;
  text.reserve(aResponse.mBody.size() + 512);
  text.append("HTTP/1.1 ")
    .append(std::to_string(aResponse.mStatus))
    .append(" ")
    .append(http_status_str(static_cast<http_status>(aResponse.mStatus)))
    .append("\r\n");
  AppendFields(aResponse.mHeaders, text);
  if (aClose) {
    text.append("Connection: close\r\n");
  }
  text.append("Content-Length: ")
    .append(std::to_string(aResponse.mBody.size()))
    .append("\r\n\r\n");
  if (!aNoBody) {
    text.append(aResponse.mBody);
  }
  return text;
}

std::string
RequestText(const HttpMessage& aRequest)
{
  std::string text;
  text.reserve(aRequest.mBody.size() + 512);
  text.append(aRequest.mMethod)
    .append(" ")
    .append(aRequest.mTarget)
    .append(" HTTP/1.1\r\n");
  AppendFields(aRequest.mHeaders, text);
  const bool usuallyHasBody = aRequest.mMethod == "POST" ||
                              aRequest.mMethod == "PUT" ||
                              aRequest.mMethod == "PATCH";
  if (usuallyHasBody || !aRequest.mBody.empty()) {
    text.append("Content-Length: ")
      .append(std::to_string(aRequest.mBody.size()))
      .append("\r\n");
  }
  return text.append("\r\n").append(aRequest.mBody);
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders)
{
  const std::vector<std::string_view> named = NamedByConnection(aHeaders);
  const auto isHopByHop = [&](std::string_view aName) {
    const auto matches = [&](std::string_view aOther) {
      return EqualIgnoringCase(aName, aOther);
    };
    return std::any_of(
             kNotForwardedFields.begin(), kNotForwardedFields.end(), matches) ||
           std::any_of(named.begin(), named.end(), matches);
  };
  HttpHeaders result;
  for (const auto& [name, value] : aHeaders.Fields()) {
    if (!isHopByHop(name)) {
      result.Add(name, value);
    }
  }
  return result;
}

} // namespace papayaway
