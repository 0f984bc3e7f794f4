#include "Operations.h"

namespace papayaway {

void
Operations::Record(const std::string& aId, nlohmann::json aResult, Millis aNow)
{
  if (!mResults.emplace(aId, std::move(aResult)).second) {
    return;
  }
  mByAge.emplace_back(aNow, aId);
  while (mByAge.size() > mLimit || mByAge.front().first + mRetention < aNow) {
    mResults.erase(mByAge.front().second);
    mByAge.pop_front();
  }
}

const nlohmann::json*
Operations::Result(std::string_view aId) const
{
  const auto found = mResults.find(aId);
  return found == mResults.end() ? nullptr : &found->second;
}

} // namespace papayaway
