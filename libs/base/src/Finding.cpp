#include <base/Finding.h>

namespace papayaway {

std::string
Finding::ToString() const
{
  std::string text;
  if (!mFile.empty()) {
    text += mFile + ":";
  }
  if (mLine > 0) {
    text += std::to_string(mLine) + ":";
  }
  if (!text.empty()) {
    text += " ";
  }
  if (!mPath.empty()) {
    text += mPath + ": ";
  }
  return text + mMessage;
}

std::string
ToString(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += finding.ToString() + "\n";
  }
  return text;
}

} // namespace papayaway
