#pragma once

#include <string>

namespace papayaway {

/** Prints checks as they are made and counts those that failed. */
class Checks
{
public:
  /** Prints a line about what is done now. */
  void Step(const std::string& aText);

  /** Prints and counts a check. @return aHolds. */
  bool Check(bool aHolds, const std::string& aText);

  [[nodiscard]] int Failed() const { return mFailed; }
  [[nodiscard]] int Made() const { return mMade; }

private:
  int mMade = 0;
  int mFailed = 0;
};

} // namespace papayaway
