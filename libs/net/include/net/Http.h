#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayaway {

/** The header fields of a message in the order they were sent. */
class HttpHeaders
{
public:
  using Field = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> aFields)
    : mFields(aFields)
  {
  }

  bool operator==(const HttpHeaders&) const = default;

  /** Adds a field, also if there are fields with the same name. */
  void Add(std::string aName, std::string aValue);

  /** Replaces all fields named aName, ignoring case, by one field. */
  void Set(std::string aName, std::string aValue);

  /** Removes all fields named aName, ignoring case. */
  void Remove(std::string_view aName);

  /** @return the value of the first field named aName, ignoring case, or "". */
  [[nodiscard]] std::string_view Value(std::string_view aName) const;

  /** @return whether there is a field named aName, ignoring case. */
  [[nodiscard]] bool Contains(std::string_view aName) const;

  [[nodiscard]] const std::vector<Field>& Fields() const { return mFields; }

private:
  std::vector<Field> mFields;
};

/** @return whether both texts are equal, ignoring the case of ASCII letters. */
bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/** @return whether the text is a token (RFC 9110 section 5.6.2), as names of
 *    fields must be. */
bool IsToken(std::string_view aText);

/** @return whether a line of a header has a valid field name before its colon.
 */
bool IsFieldLine(std::string_view aLine);

struct HttpRequest
{
  std::string mMethod = "GET";
  /** The path without the query. */
  std::string mPath = "/";
  /** The query with its leading '?', or empty. */
  std::string mQuery;
  HttpHeaders mHeaders;
  std::string mBody;

  bool operator==(const HttpRequest&) const = default;

  /** @return the percent-decoded value of the first query argument named
   *    aName, or "". */
  [[nodiscard]] std::string QueryValue(std::string_view aName) const;
};

struct HttpResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;

  bool operator==(const HttpResponse&) const = default;
};

/** @return a response with a JSON body. */
HttpResponse JsonResponse(int aStatus, std::string aBody);

} // namespace papayaway
