#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <base/Finding.h>

namespace papayaway {

/** One "key = value" line. */
struct IniEntry
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

/** The content of an INI file in the order of its lines. */
struct IniContent
{
  /** The section header lines, whose mKey and mValue are empty. */
  std::vector<IniEntry> mSections;
  std::vector<IniEntry> mEntries;
};

/** Parses aText. Adds a finding to aFindings for each line that is neither
 *  blank, a comment, a section header nor an entry. */
IniContent ReadIni(std::string_view aText,
                   const std::string& aFile,
                   Findings& aFindings);

} // namespace papayaway
