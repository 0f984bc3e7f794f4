#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <base/Millis.h>

namespace papayaway {

/** The results of committed transactions by operation id. */
class Operations
{
public:
  /** @param aRetention how long a result is kept.
   *  @param aLimit the maximum number of results; the oldest are evicted. */
  Operations(Millis aRetention, std::size_t aLimit)
    : mRetention(aRetention)
    , mLimit(aLimit)
  {
  }

  /** Records the result of an operation that was committed at aNow. */
  void Record(const std::string& aId, nlohmann::json aResult, Millis aNow);

  /** @return the result, or nullptr if none is recorded. */
  [[nodiscard]] const nlohmann::json* Result(std::string_view aId) const;

  [[nodiscard]] std::size_t Size() const { return mResults.size(); }

private:
  Millis mRetention;
  std::size_t mLimit;
  std::map<std::string, nlohmann::json, std::less<>> mResults;
  std::deque<std::pair<Millis, std::string>> mByAge;
};

} // namespace papayaway
