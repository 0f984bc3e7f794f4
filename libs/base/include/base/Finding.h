#pragma once

#include <string>
#include <vector>

namespace papayaway {

/** An error in an input, such as a settings file, with its location. */
struct Finding
{
  /** The file, or empty for an input that has no file. */
  std::string mFile;
  /** The line, counted from 1, or 0 if unknown. */
  int mLine = 0;
  /** The location within the input, for example a JSON pointer or
   *  "[section] key". */
  std::string mPath;
  std::string mMessage;

  auto operator<=>(const Finding&) const = default;

  /** @return "file:line: path: message" without the parts that are unknown. */
  [[nodiscard]] std::string ToString() const;
};

/** The errors in one input, which are reported together. */
using Findings = std::vector<Finding>;

/** @return one line per finding, each ending with a newline. */
std::string ToString(const Findings& aFindings);

} // namespace papayaway
