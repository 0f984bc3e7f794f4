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
  auto it = mSeries.find(aKey);
  if (it == mSeries.end()) {
    if (mSeries.size() >= mOptions.mMaxSeries) {
      DropExpiredSeries(aNow);
    }
    if (mSeries.size() >= mOptions.mMaxSeries) {
      ++mDropped;
      return;
    }
    it = mSeries.emplace(aKey, Series{}).first;
  }
  Series& series = it->second;
  // The buckets stay in order of time even if the clock was set back.
  if (!series.empty() && aBucket.mTo <= series.back().mTo) {
    EvidenceBucket& last = series.back();
    const Millis from = last.mFrom;
    last.Merge(aBucket);
    last.mFrom = from;
  } else {
    series.push_back(aBucket);
  }
  const Millis oldest = aNow - mOptions.mRetention;
  std::erase_if(series,
                [&](const EvidenceBucket& aOld) { return aOld.mTo < oldest; });
  if (series.size() <= mOptions.mMaxBuckets) {
    return;
  }
  // Merges the two adjacent buckets of the older half that span the least
  // time.
  std::size_t shortestPair = 0;
  for (std::size_t i = 0; i + 1 < series.size() / 2; ++i) {
    if (series[i + 1].mTo - series[i].mFrom <
        series[shortestPair + 1].mTo - series[shortestPair].mFrom) {
      shortestPair = i;
    }
  }
  series[shortestPair].Merge(series[shortestPair + 1]);
  series.erase(series.begin() + static_cast<std::ptrdiff_t>(shortestPair) + 1);
}

void
EvidenceWindow::DropExpiredSeries(Millis aNow)
{
  const Millis oldest = aNow - mOptions.mRetention;
  std::erase_if(mSeries, [&](const auto& aEntry) {
    return aEntry.second.empty() || aEntry.second.back().mTo < oldest;
  });
}

const EvidenceWindow::Series&
EvidenceWindow::Find(const std::string& aService,
                     const std::string& aVersion,
                     const std::string& aRoute,
                     const std::string& aDataCentre) const
{
  const auto it = mSeries.find({ aService, aVersion, aRoute, aDataCentre });
  static const Series kEmpty;
  return it == mSeries.end() ? kEmpty : it->second;
}

std::vector<std::string>
EvidenceWindow::DataCentres(const std::string& aService,
                            const std::vector<std::string>& aVersions) const
{
  std::set<std::string> names;
  for (const std::string& version : aVersions) {
    // The series of all routes contain every report, and their empty route
    // name sorts first.
    for (auto it = mSeries.lower_bound({ aService, version, "", "" });
         it != mSeries.end() && std::get<0>(it->first) == aService &&
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
