#include <records/RecordNames.h>

#include <charconv>
#include <vector>

namespace papayaway {

namespace {

constexpr std::string_view kPrefix = "records/";
constexpr std::string_view kFinal = "final-";
constexpr std::string_view kDropped = ".dropped";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool
IsUnreserved(char aLetter)
{
  return (aLetter >= 'a' && aLetter <= 'z') ||
         (aLetter >= 'A' && aLetter <= 'Z') ||
         (aLetter >= '0' && aLetter <= '9') || aLetter == '-' ||
         aLetter == '_' || aLetter == '.';
}

std::string
PercentEncoded(std::string_view aText)
{
  // Names of dots only are encoded too, because a store that normalises paths
  // would treat "." and ".." as directories.
  const bool dots = aText.find_first_not_of('.') == std::string_view::npos;
  std::string encoded;
  for (const char letter : aText) {
    if (IsUnreserved(letter) && !dots) {
      encoded += letter;
    } else {
      const auto byte = static_cast<unsigned char>(letter);
      encoded += '%';
      encoded += kHexDigits[byte >> 4U];
      encoded += kHexDigits[byte & 0xFU];
    }
  }
  return encoded;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText, int aBase = 10)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value, aBase);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string>
PercentDecoded(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    const auto byte = ParseNumber(aText.substr(i + 1, 2), 16);
    if (i + 2 >= aText.size() || !byte) {
      return std::nullopt;
    }
    decoded += static_cast<char>(*byte);
    i += 2;
  }
  return decoded;
}

bool
ParseRange(std::string_view aText, RecordObjectName& aName)
{
  if (aText.starts_with(kFinal)) {
    const auto last = ParseNumber(aText.substr(kFinal.size()));
    aName.mKind = RecordObjectKind::Final;
    aName.mFirst = aName.mLast = last.value_or(0);
    return last.has_value();
  }
  if (aText.ends_with(kDropped)) {
    aName.mKind = RecordObjectKind::Dropped;
    aText.remove_suffix(kDropped.size());
  }
  const std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return false;
  }
  const auto first = ParseNumber(aText.substr(0, dash));
  const auto last = ParseNumber(aText.substr(dash + 1));
  aName.mFirst = first.value_or(0);
  aName.mLast = last.value_or(0);
  return first && last && *first >= 1 && *first <= *last;
}

} // namespace

std::string
RecordPrefix(std::string_view aCustomer)
{
  return std::string(kPrefix) + PercentEncoded(aCustomer) + "/";
}

std::string
RecordObjectName::ToString() const
{
  std::string text = RecordPrefix(mCustomer) + PercentEncoded(mNode) + "/" +
                     std::to_string(mIncarnation) + "/";
  switch (mKind) {
    case RecordObjectKind::Final:
      return text + std::string(kFinal) + std::to_string(mLast);
    case RecordObjectKind::Records:
    case RecordObjectKind::Dropped:
      break;
  }
  text += std::to_string(mFirst) + "-" + std::to_string(mLast);
  if (mKind == RecordObjectKind::Dropped) {
    text += kDropped;
  }
  return text;
}

std::optional<RecordObjectName>
ParseRecordObjectName(std::string_view aName)
{
  if (!aName.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::vector<std::string_view> parts;
  std::string_view rest = aName.substr(kPrefix.size());
  for (std::size_t slash = rest.find('/'); slash != std::string_view::npos;
       slash = rest.find('/')) {
    parts.push_back(rest.substr(0, slash));
    rest.remove_prefix(slash + 1);
  }
  if (parts.size() != 3) {
    return std::nullopt;
  }
  RecordObjectName name;
  const auto customer = PercentDecoded(parts[0]);
  const auto node = PercentDecoded(parts[1]);
  const auto incarnation = ParseNumber(parts[2]);
  if (!customer || !node || !incarnation || !ParseRange(rest, name)) {
    return std::nullopt;
  }
  name.mCustomer = *customer;
  name.mNode = *node;
  name.mIncarnation = *incarnation;
  if (name.ToString() != aName) {
    return std::nullopt;
  }
  return name;
}

} // namespace papayaway
