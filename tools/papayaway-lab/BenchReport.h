#pragma once

#include <optional>
#include <string>
#include <vector>

namespace papayaway {

/** One measured figure. */
struct Measure
{
  std::string mName;
  double mValue = 0;
  std::string mUnit;
  /** The highest value that meets the objective, if there is one. */
  std::optional<double> mBound;

  [[nodiscard]] bool IsOverBound() const
  {
    return mBound && !(mValue <= *mBound);
  }
};

/** Prints measures as they are added and keeps them for the JSON file. */
class BenchReport
{
public:
  /** Prints a comment line, which starts with '#'. */
  void Comment(const std::string& aText);

  /** Prints "name value unit bound ok|over" and keeps the measure. A value
   *  that is not a number is over its bound. */
  void Add(Measure aMeasure);

  [[nodiscard]] int OverBoundCount() const { return mOverBoundCount; }

  /** Writes the measures to aPath. Throws std::runtime_error if the file
   *  can't be written. */
  void WriteJson(const std::string& aPath) const;

private:
  std::vector<Measure> mMeasures;
  int mOverBoundCount = 0;
};

} // namespace papayaway
