#pragma once

#include <fstream>
#include <iterator>
#include <string>

namespace papayaway {

/** @param aPath the path relative to the root of the repository.
 *  @return the content of the file, or "" if it can't be read. */
inline std::string
ReadRepositoryFile(const std::string& aPath)
{
  std::ifstream file(std::string(PAPAYAWAY_SOURCE_DIR) + "/" + aPath,
                     std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace papayaway
