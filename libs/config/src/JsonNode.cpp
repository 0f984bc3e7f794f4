#include "JsonNode.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace papayaway {
namespace {

using Json = nlohmann::json;

// Tracks the line number that the lexer has reached in its input.
//
// The lexer reads one character past the end of a number, so a newline as the
// last character read is not counted yet.
class LineCounter
{
public:
  explicit LineCounter(std::string_view aText)
    : mText(aText)
  {
  }

  [[nodiscard]] const char* Begin() const { return mText.data(); }
  [[nodiscard]] const char* End() const { return Begin() + mText.size(); }

  void ReadUpTo(const char* aNext)
  {
    mReadBytes = static_cast<std::size_t>(aNext - Begin());
  }

  int Line()
  {
    for (; mCountedBytes + 1 < mReadBytes; ++mCountedBytes) {
      mLine += mText[mCountedBytes] == '\n' ? 1 : 0;
    }
    return mLine;
  }

private:
  std::string_view mText;
  std::size_t mReadBytes = 0;
  std::size_t mCountedBytes = 0;
  int mLine = 1;
};

// Iterates over the input and reports the position to a LineCounter.
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* aPosition, LineCounter* aCounter)
    : mPosition(aPosition)
    , mCounter(aCounter)
  {
  }

  reference operator*() const { return *mPosition; }
  CountingIterator& operator++()
  {
    mCounter->ReadUpTo(++mPosition);
    return *this;
  }
  CountingIterator operator++(int)
  {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& aOther) const
  {
    return mPosition == aOther.mPosition;
  }

private:
  const char* mPosition;
  LineCounter* mCounter;
};

// Builds a JsonNode tree from the SAX events of the parser.
class TreeBuilder : public nlohmann::json_sax<Json>
{
public:
  TreeBuilder(LineCounter& aCounter,
              const std::string& aFile,
              Findings& aFindings)
    : mCounter(aCounter)
    , mFile(aFile)
    , mFindings(aFindings)
  {
  }

  bool null() override { return Add({ .mKind = JsonNode::Kind::Null }); }
  bool boolean(bool aValue) override
  {
    return Add({ .mKind = JsonNode::Kind::Boolean, .mBoolean = aValue });
  }
  bool number_integer(number_integer_t aValue) override
  {
    return Add({ .mKind = JsonNode::Kind::Integer, .mInteger = aValue });
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    // Clamping is safe: the maximum of every integer in a document is far below
    // kMaxInteger, so the clamped value is still rejected as out of range.
    constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();
    return Add(
      { .mKind = JsonNode::Kind::Integer,
        .mInteger = aValue > static_cast<number_unsigned_t>(kMaxInteger)
                      ? kMaxInteger
                      : static_cast<std::int64_t>(aValue) });
  }
  bool number_float(number_float_t, const string_t&) override
  {
    return Add({ .mKind = JsonNode::Kind::Float });
  }
  bool string(string_t& aValue) override
  {
    return Add({ .mKind = JsonNode::Kind::String, .mString = aValue });
  }
  bool binary(binary_t&) override { return Add({}); }

  bool start_object(std::size_t) override
  {
    return Open({ .mKind = JsonNode::Kind::Object });
  }
  bool start_array(std::size_t) override
  {
    return Open({ .mKind = JsonNode::Kind::Array });
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& aKey) override
  {
    JsonNode& object = mOpenNodes.back();
    if (object.mKeys.size() == kMaxJsonKeys) {
      return Fail("an object has more than " + std::to_string(kMaxJsonKeys) +
                  " keys");
    }
    if (object.Find(aKey) != nullptr) {
      mFindings.push_back({ mFile,
                            mCounter.Line(),
                            AppendPointer(Pointer(), aKey),
                            "the key appears twice" });
    }
    object.mKeys.push_back(aKey);
    mKeyLine = mCounter.Line();
    return true;
  }

  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception& aError) override
  {
    // Strips the error number of the library from the start of the message.
    std::string message = aError.what();
    const std::size_t end = message.find("] ");
    if (end != std::string::npos) {
      message.erase(0, end + 2);
    }
    return Fail(Printable(message));
  }

  bool Fail(const std::string& aMessage)
  {
    mFindings.push_back({ mFile, mCounter.Line(), Pointer(), aMessage });
    return false;
  }

  JsonNode mRoot;

private:
  // Shortens the message and replaces all but printable ASCII characters, since
  // it quotes the input, which may be long or not UTF-8.
  static std::string Printable(std::string aMessage)
  {
    constexpr std::size_t kMaxMessageLength = 200;
    aMessage.resize(std::min(aMessage.size(), kMaxMessageLength));
    std::replace_if(
      aMessage.begin(),
      aMessage.end(),
      [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~'; },
      '?');
    return aMessage;
  }

  // Sets the line of a value and checks the limit on the number of values.
  bool RegisterNode(JsonNode& aNode)
  {
    const bool member =
      !mOpenNodes.empty() && mOpenNodes.back().mKind == JsonNode::Kind::Object;
    aNode.mLine = member ? mKeyLine : mCounter.Line();
    if (++mValueCount > kMaxJsonValues) {
      return Fail("the document has more than " +
                  std::to_string(kMaxJsonValues) + " values");
    }
    return true;
  }

  bool Add(JsonNode aNode)
  {
    if (!RegisterNode(aNode)) {
      return false;
    }
    AttachToParent(std::move(aNode));
    return true;
  }

  bool Open(JsonNode aNode)
  {
    if (!RegisterNode(aNode)) {
      return false;
    }
    if (mOpenNodes.size() == kMaxJsonDepth) {
      return Fail("values are nested deeper than " +
                  std::to_string(kMaxJsonDepth));
    }
    mOpenNodes.push_back(std::move(aNode));
    return true;
  }

  bool Close()
  {
    JsonNode node = std::move(mOpenNodes.back());
    mOpenNodes.pop_back();
    AttachToParent(std::move(node));
    return true;
  }

  void AttachToParent(JsonNode aNode)
  {
    if (mOpenNodes.empty()) {
      mRoot = std::move(aNode);
    } else {
      mOpenNodes.back().mChildren.push_back(std::move(aNode));
    }
  }

  // @return the JSON pointer of the innermost open object or array.
  [[nodiscard]] std::string Pointer() const
  {
    std::string pointer;
    for (std::size_t depth = 0; depth + 1 < mOpenNodes.size(); ++depth) {
      const JsonNode& node = mOpenNodes[depth];
      pointer = AppendPointer(pointer,
                              node.mKind == JsonNode::Kind::Object
                                ? node.mKeys.back()
                                : std::to_string(node.mChildren.size()));
    }
    return pointer;
  }

  LineCounter& mCounter;
  const std::string& mFile;
  Findings& mFindings;
  std::vector<JsonNode> mOpenNodes;
  int mKeyLine = 0;
  std::size_t mValueCount = 0;
};

// Copies aJson to aNode.
// @return an error message if a limit is exceeded, or "".
std::string
Copy(const Json& aJson,
     JsonNode& aNode,
     std::size_t aDepth,
     std::size_t& aValues)
{
  if (aDepth > kMaxJsonDepth || ++aValues > kMaxJsonValues) {
    return "the document is nested too deep or has too many values";
  }
  if (aJson.is_boolean()) {
    aNode.mKind = JsonNode::Kind::Boolean;
    aNode.mBoolean = aJson.get<bool>();
  } else if (aJson.is_number_unsigned()) {
    constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();
    aNode.mKind = JsonNode::Kind::Integer;
    aNode.mInteger = static_cast<std::int64_t>(
      std::min<std::uint64_t>(aJson.get<std::uint64_t>(), kMaxInteger));
  } else if (aJson.is_number_integer()) {
    aNode.mKind = JsonNode::Kind::Integer;
    aNode.mInteger = aJson.get<std::int64_t>();
  } else if (aJson.is_number_float()) {
    aNode.mKind = JsonNode::Kind::Float;
  } else if (aJson.is_string()) {
    aNode.mKind = JsonNode::Kind::String;
    aNode.mString = aJson.get<std::string>();
  } else if (aJson.is_array() || aJson.is_object()) {
    aNode.mKind =
      aJson.is_array() ? JsonNode::Kind::Array : JsonNode::Kind::Object;
    for (const auto& item : aJson.items()) {
      if (aJson.is_object()) {
        aNode.mKeys.push_back(item.key());
      }
      std::string message =
        Copy(item.value(), aNode.mChildren.emplace_back(), aDepth + 1, aValues);
      if (!message.empty()) {
        return message;
      }
    }
  }
  return "";
}

} // namespace

const JsonNode*
JsonNode::Find(std::string_view aKey) const
{
  const auto found = std::find(mKeys.begin(), mKeys.end(), aKey);
  const auto index = static_cast<std::size_t>(found - mKeys.begin());
  return index < mChildren.size() ? &mChildren[index] : nullptr;
}

std::string
AppendPointer(const std::string& aPointer, std::string_view aKey)
{
  std::string pointer = aPointer + "/";
  for (const char character : aKey) {
    if (character == '~') {
      pointer += "~0";
    } else if (character == '/') {
      pointer += "~1";
    } else {
      pointer += character;
    }
  }
  return pointer;
}

std::optional<JsonNode>
ParseJsonNode(std::string_view aText,
              const std::string& aFile,
              Findings& aFindings)
{
  if (aText.size() > kMaxDocumentBytes) {
    aFindings.push_back({ aFile, 0, "", "the document is larger than 1 MiB" });
    return std::nullopt;
  }
  LineCounter counter(aText);
  TreeBuilder builder(counter, aFile, aFindings);
  if (!Json::sax_parse(CountingIterator(counter.Begin(), &counter),
                       CountingIterator(counter.End(), &counter),
                       &builder)) {
    return std::nullopt;
  }
  return std::move(builder.mRoot);
}

std::optional<JsonNode>
ToJsonNode(const Json& aJson, Findings& aFindings)
{
  JsonNode root;
  std::size_t values = 0;
  const std::string message = Copy(aJson, root, 1, values);
  if (!message.empty()) {
    aFindings.push_back({ "", 0, "", message });
    return std::nullopt;
  }
  return root;
}

} // namespace papayaway
