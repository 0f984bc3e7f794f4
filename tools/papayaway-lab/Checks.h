#pragma once

#include <string>

namespace papayaway {

/** Prints the result of each check and counts the failed ones. */
class Checks
{
public:
  /** Prints a heading for the checks that follow. */
  void Step(const std::string& aText);

  /** Prints the result of a check and counts it.
   *  @param aHolds whether the check passed. @return aHolds. */
  bool Check(bool aHolds, const std::string& aText);

  [[nodiscard]] int Failed() const { return mFailed; }
  [[nodiscard]] int Made() const { return mMade; }

private:
  int mMade = 0;
  int mFailed = 0;
};

} // namespace papayaway
