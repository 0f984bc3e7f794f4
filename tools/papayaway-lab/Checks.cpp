#include "Checks.h"

#include <iostream>

namespace papayaway {

void
Checks::Step(const std::string& aText)
{
  std::cout << "== " << aText << std::endl;
}

bool
Checks::Check(bool aHolds, const std::string& aText)
{
  ++mMade;
  mFailed += aHolds ? 0 : 1;
  std::cout << (aHolds ? "   ok    " : "   FAILED ") << aText << std::endl;
  return aHolds;
}

} // namespace papayaway
