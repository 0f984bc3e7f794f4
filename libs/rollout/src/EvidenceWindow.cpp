#include <rollout/EvidenceWindow.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace papayaway {

void
EvidenceBucket::Merge(const EvidenceBucket& aOther)
{
  mFrom = std::min(mFrom, aOther.mFrom);
  mTo = std::max(mTo, aOther.mTo);
  mCalls += aOther.mCalls;
  mFailures += aOther.mFailures;
  mLatencySum += aOther.mLatencySum;
  mLatencySquareSum += aOther.mLatencySquareSum;
}

EvidenceWindow::EvidenceWindow()
  : EvidenceWindow(Options{})
{
}

EvidenceWindow::EvidenceWindow(Options aOptions)
  : mOptions(aOptions)
{
}

void
EvidenceWindow::Add(const Evidence& aEvidence,
                    const std::string& aDataCentre,
                    Millis aNow)
{
  if (aEvidence.mCalls == 0) {
    return;
  }
  const double start = std::floor(aNow / mOptions.mBucketSpan);
  const EvidenceBucket bucket{
    .mFrom = mOptions.mBucketSpan * start,
    .mTo = mOptions.mBucketSpan * (start + 1),
    .mCalls = aEvidence.mCalls,
    .mFailures = std::min(aEvidence.mFailures, aEvidence.mCalls),
    .mLatencySum = aEvidence.mLatencySum,
    .mLatencySquareSum = aEvidence.mLatencySquareSum,
  };
  const std::set<std::string> routes{ aEvidence.mRoute, "" };
  const std::set<std::string> dataCentres{ aDataCentre, "" };
  for (const std::string& route : routes) {
    for (const std::string& dataCentre : dataCentres) {
      AddTo({ aEvidence.mService, aEvidence.mVersion, route, dataCentre },
            bucket,
            aNow);
    }
  }
}

void
EvidenceWindow::AddTo(const Key& aKey,
                      const EvidenceBucket& aBucket,
                      Millis aNow)
{
  auto it = mCells.find(aKey);
  if (it == mCells.end()) {
    if (mCells.size() >= mOptions.mMaxCells) {
      DropOldCells(aNow);
    }
    if (mCells.size() >= mOptions.mMaxCells) {
      ++mDropped;
      return;
    }
    it = mCells.emplace(aKey, Cell{}).first;
  }
  Cell& cell = it->second;
  // A clock that was set back must not reorder the spans.
  if (!cell.empty() && aBucket.mTo <= cell.back().mTo) {
    EvidenceBucket& last = cell.back();
    const Millis from = last.mFrom;
    last.Merge(aBucket);
    last.mFrom = from;
  } else {
    cell.push_back(aBucket);
  }
  const Millis oldest = aNow - mOptions.mRetention;
  std::erase_if(cell,
                [&](const EvidenceBucket& aOld) { return aOld.mTo < oldest; });
  if (cell.size() <= mOptions.mMaxBuckets) {
    return;
  }
  // Merges the shortest neighbours of the older half.
  std::size_t best = 0;
  for (std::size_t i = 0; i + 1 < cell.size() / 2; ++i) {
    if (cell[i + 1].mTo - cell[i].mFrom <
        cell[best + 1].mTo - cell[best].mFrom) {
      best = i;
    }
  }
  cell[best].Merge(cell[best + 1]);
  cell.erase(cell.begin() + static_cast<std::ptrdiff_t>(best) + 1);
}

void
EvidenceWindow::DropOldCells(Millis aNow)
{
  const Millis oldest = aNow - mOptions.mRetention;
  std::erase_if(mCells, [&](const auto& aEntry) {
    return aEntry.second.empty() || aEntry.second.back().mTo < oldest;
  });
}

const EvidenceWindow::Cell&
EvidenceWindow::Find(const std::string& aService,
                     const std::string& aVersion,
                     const std::string& aRoute,
                     const std::string& aDataCentre) const
{
  const auto it = mCells.find({ aService, aVersion, aRoute, aDataCentre });
  static const Cell kNone;
  return it == mCells.end() ? kNone : it->second;
}

std::vector<std::string>
EvidenceWindow::DataCentres(const std::string& aService,
                            const std::vector<std::string>& aVersions) const
{
  std::set<std::string> names;
  for (const std::string& version : aVersions) {
    // Reports count towards the sum over all routes, which sorts first.
    for (auto it = mCells.lower_bound({ aService, version, "", "" });
         it != mCells.end() && std::get<0>(it->first) == aService &&
         std::get<1>(it->first) == version && std::get<2>(it->first).empty();
         ++it) {
      if (!std::get<3>(it->first).empty()) {
        names.insert(std::get<3>(it->first));
      }
    }
  }
  return { names.begin(), names.end() };
}

} // namespace papayaway
