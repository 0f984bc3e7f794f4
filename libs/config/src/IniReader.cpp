#include "IniReader.h"

#include <algorithm>
#include <cstring>

#include <ini.h>

namespace papayaway {
namespace {

constexpr std::size_t kMaxSettingsBytes = std::size_t{ 64 } << 10;

// Passes the lines to libinih one by one. libinih returns only the line number
// of its first error, so this class also detects each line that is neither an
// entry, a section header, a comment nor blank.
class LineSource
{
public:
  LineSource(std::string_view aText,
             const std::string& aFile,
             Findings& aFindings)
    : mText(aText)
    , mFile(aFile)
    , mFindings(aFindings)
  {
    constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
    if (mText.starts_with(kByteOrderMark)) {
      mText.remove_prefix(kByteOrderMark.size());
    }
  }

  char* Next(char* aBuffer, int aSize)
  {
    CheckPrevious();
    if (mText.empty()) {
      return nullptr;
    }
    ++mLine;
    const std::size_t end = mText.find('\n');
    std::string_view line = mText.substr(0, end);
    mText.remove_prefix(end == std::string_view::npos ? mText.size() : end + 1);
    // libinih treats an indented line as a continuation of the previous line.
    line = Trimmed(line);
    mExpectsContent = !line.empty() && line[0] != ';' && line[0] != '#';
    if (line.find('\0') != std::string_view::npos) {
      line = RejectLine("the line has a NUL byte");
    } else if (line.size() + 1 > static_cast<std::size_t>(aSize)) {
      line = RejectLine("the line is longer than " + std::to_string(aSize - 1) +
                        " bytes");
    }
    if (mExpectsContent && line[0] == '[') {
      ReadHeader(line);
    }
    std::memcpy(aBuffer, line.data(), line.size());
    aBuffer[line.size()] = '\0';
    return aBuffer;
  }

  void AddEntry(const char* aSection, const char* aKey, const char* aValue)
  {
    mExpectsContent = false;
    mContent.mEntries.push_back({ aSection, aKey, aValue, mLine });
  }

  IniContent mContent;

private:
  static std::string_view Trimmed(std::string_view aLine)
  {
    constexpr std::string_view kSpace = " \t\r\v\f";
    aLine.remove_prefix(
      std::min(aLine.find_first_not_of(kSpace), aLine.size()));
    return aLine.substr(0, aLine.find_last_not_of(kSpace) + 1);
  }

  // Reports the current line.
  // @return the empty line to pass to libinih instead.
  std::string_view RejectLine(std::string aMessage)
  {
    mExpectsContent = false;
    mFindings.push_back({ mFile, mLine, "", std::move(aMessage) });
    return "";
  }

  void ReadHeader(std::string_view aLine)
  {
    const std::size_t end = aLine.find(']');
    if (end != std::string_view::npos) {
      mExpectsContent = false;
      mContent.mSections.push_back(
        { std::string(aLine.substr(1, end - 1)), "", "", mLine });
    }
  }

  void CheckPrevious()
  {
    if (mExpectsContent) {
      RejectLine("the line is neither \"[section]\" nor \"key = value\"");
    }
  }

  std::string_view mText;
  const std::string& mFile;
  Findings& mFindings;
  int mLine = 0;
  bool mExpectsContent = false;
};

char*
ReadLine(char* aBuffer, int aSize, void* aSource)
{
  return static_cast<LineSource*>(aSource)->Next(aBuffer, aSize);
}

int
AddEntry(void* aSource,
         const char* aSection,
         const char* aKey,
         const char* aValue)
{
  static_cast<LineSource*>(aSource)->AddEntry(
    aSection, aKey, aValue == nullptr ? "" : aValue);
  return 1;
}

} // namespace

IniContent
ReadIni(std::string_view aText, const std::string& aFile, Findings& aFindings)
{
  if (aText.size() > kMaxSettingsBytes) {
    aFindings.push_back(
      { aFile, 0, "", "the settings are larger than 64 KiB" });
    return {};
  }
  LineSource source(aText, aFile, aFindings);
  ini_parse_stream(ReadLine, &source, AddEntry, &source);
  return std::move(source.mContent);
}

} // namespace papayaway
