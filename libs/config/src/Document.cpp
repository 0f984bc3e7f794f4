#include <config/Document.h>

#include <algorithm>

namespace papayaway {

const Service*
Document::FindService(const std::string& aName) const
{
  const auto found = std::find_if(
    mServices.begin(), mServices.end(), [&](const Service& aService) {
      return aService.mName == aName;
    });
  return found == mServices.end() ? nullptr : &*found;
}

} // namespace papayaway
