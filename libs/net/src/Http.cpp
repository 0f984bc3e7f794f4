#include <net/Http.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace papayaway {

namespace {

char
Lower(char aLetter)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
}

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

std::string
PercentDecoded(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '+') {
      decoded += ' ';
      continue;
    }
    unsigned int value = 0;
    if (aText[i] == '%' && i + 2 < aText.size()) {
      const char* const end = aText.data() + i + 3;
      if (std::from_chars(aText.data() + i + 1, end, value, 16).ptr == end) {
        decoded += static_cast<char>(value);
        i += 2;
        continue;
      }
    }
    decoded += aText[i];
  }
  return decoded;
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aFirst, char aSecond) { return Lower(aFirst) == Lower(aSecond); });
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
IsFieldLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  return colon != std::string_view::npos && IsToken(aLine.substr(0, colon));
}

void
HttpHeaders::Add(std::string aName, std::string aValue)
{
  mFields.emplace_back(std::move(aName), std::move(aValue));
}

void
HttpHeaders::Set(std::string aName, std::string aValue)
{
  Remove(aName);
  Add(std::move(aName), std::move(aValue));
}

void
HttpHeaders::Remove(std::string_view aName)
{
  std::erase_if(mFields, [aName](const Field& aField) {
    return EqualIgnoringCase(aField.first, aName);
  });
}

std::string_view
HttpHeaders::Value(std::string_view aName) const
{
  for (const Field& field : mFields) {
    if (EqualIgnoringCase(field.first, aName)) {
      return field.second;
    }
  }
  return {};
}

bool
HttpHeaders::Contains(std::string_view aName) const
{
  return std::any_of(
    mFields.begin(), mFields.end(), [aName](const Field& aField) {
      return EqualIgnoringCase(aField.first, aName);
    });
}

std::string
HttpRequest::QueryValue(std::string_view aName) const
{
  std::string_view rest = mQuery;
  if (rest.starts_with('?')) {
    rest.remove_prefix(1);
  }
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view argument = rest.substr(0, end);
    const std::size_t equals = std::min(argument.find('='), argument.size());
    if (PercentDecoded(argument.substr(0, equals)) == aName) {
      return equals < argument.size()
               ? PercentDecoded(argument.substr(equals + 1))
               : std::string();
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

HttpResponse
JsonResponse(int aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

} // namespace papayaway
