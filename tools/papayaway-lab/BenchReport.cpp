#include "BenchReport.h"

#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace papayaway {

namespace {

std::string
Format(double aValue)
{
  std::ostringstream text;
  if (std::abs(aValue) >= 1000) {
    text << std::fixed << std::setprecision(0);
  } else {
    text << std::setprecision(4);
  }
  text << aValue;
  return text.str();
}

} // namespace

void
BenchReport::Comment(const std::string& aText)
{
  std::cout << "# " << aText << std::endl;
}

void
BenchReport::Add(Measure aMeasure)
{
  const bool isOverBound = aMeasure.IsOverBound();
  mOverBoundCount += isOverBound ? 1 : 0;
  std::cout << aMeasure.mName << " " << Format(aMeasure.mValue) << " "
            << aMeasure.mUnit << " "
            << (aMeasure.mBound ? Format(*aMeasure.mBound) : "-") << " "
            << (isOverBound ? "over" : "ok") << std::endl;
  mMeasures.push_back(std::move(aMeasure));
}

void
BenchReport::WriteJson(const std::string& aPath) const
{
  nlohmann::json measures = nlohmann::json::array();
  for (const Measure& measure : mMeasures) {
    measures.push_back({ { "name", measure.mName },
                         { "value", measure.mValue },
                         { "unit", measure.mUnit },
                         { "bound", nullptr },
                         { "over", measure.IsOverBound() } });
    if (measure.mBound) {
      measures.back()["bound"] = *measure.mBound;
    }
  }
  const std::filesystem::path folder =
    std::filesystem::path(aPath).parent_path();
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
  }
  std::ofstream file(aPath);
  file << nlohmann::json{ { "measures", measures },
                          { "over", mOverBoundCount } }
            .dump(1)
       << "\n";
  if (!file.flush()) {
    throw std::runtime_error("can't write " + aPath);
  }
}

} // namespace papayaway
