#pragma once

#include <fstream>
#include <iterator>
#include <string>

namespace papayaway {

/** @return the content of a file of the repository, or "". */
inline std::string
ReadRepositoryFile(const std::string& aPath)
{
  std::ifstream file(std::string(PAPAYAWAY_SOURCE_DIR) + "/" + aPath,
                     std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace papayaway
