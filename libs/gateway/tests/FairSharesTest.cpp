#include <gateway/FairShares.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <gtest/gtest.h>

#include <gateway/SlotQueue.h>

namespace papayaway::gateway {
namespace {

/** The load of one service, as a queue of 180 slots (10 targets of 18). */
struct Load
{
  /** Whether the requests name their tenants. */
  bool mFair = true;
  /** How many of the 84 tenants send 7 times their usual rate, from the third
   *  largest on. */
  int mHotTenants = 0;
  /** The fraction of refused requests that come back after 5 ms, 4 times at
   *  most. */
  double mRetryFraction = 0;
};

constexpr int kTenants = 84;
constexpr int kFirstHot = 2;
constexpr double kDuration = 60000;
/** 180 slots serve 439 requests/s of 410 ms. */
constexpr double kUsualRequestsPerSecond = 700;

/** @return the usual rate of a tenant in requests/s: a quarter of all for the
 *    largest, 1 for the smallest ones. */
double
UsualRate(int aTenant)
{
  return std::max(1.0,
                  kUsualRequestsPerSecond * 0.25 / std::pow(aTenant + 1, 1.04));
}

/** @return the fraction of its requests that each tenant was served. */
std::vector<double>
Simulate(const Load& aLoad)
{
  struct Event
  {
    double mTime = 0;
    int mTenant = 0;
    /** The attempt of an arrival; -1 for the end of a run. */
    int mAttempt = 0;
    bool operator>(const Event& aOther) const { return mTime > aOther.mTime; }
  };
  std::mt19937_64 random(20261206);
  const auto uniform = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  const auto scheduleArrival = [&](int aTenant, double aNow) {
    const bool hot =
      aTenant >= kFirstHot && aTenant < kFirstHot + aLoad.mHotTenants;
    const double rate = UsualRate(aTenant) * (hot ? 7 : 1) / 1000;
    events.push(
      { .mTime = aNow - std::log(1 - uniform()) / rate, .mTenant = aTenant });
  };
  std::vector<double> asked(kTenants);
  std::vector<double> served(kTenants);
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    scheduleArrival(tenant, 0);
  }
  SlotQueue queue(180);
  std::map<std::uint64_t, Event> offered;
  std::uint64_t nextId = 0;
  const auto apply = [&](const SlotActions& aActions, double aNow) {
    for (const std::uint64_t id : aActions.mStart) {
      served[offered.at(id).mTenant] += 1;
      offered.erase(id);
      events.push({ .mTime = aNow + 410 * (0.5 + uniform()), .mAttempt = -1 });
    }
    for (const std::uint64_t id : aActions.mRefuse) {
      const Event refused = offered.at(id);
      offered.erase(id);
      if (refused.mAttempt < 4 && uniform() < aLoad.mRetryFraction) {
        events.push({ .mTime = aNow + 5,
                      .mTenant = refused.mTenant,
                      .mAttempt = refused.mAttempt + 1 });
      }
    }
  };
  double lastTick = 0;
  while (events.top().mTime < kDuration) {
    const Event event = events.top();
    events.pop();
    const Millis now{ event.mTime };
    if (event.mTime - lastTick >= 20) {
      lastTick = event.mTime;
      apply(queue.OnTick(now), event.mTime);
    }
    if (event.mAttempt < 0) {
      apply(queue.OnFinished(now), event.mTime);
      continue;
    }
    if (event.mAttempt == 0) {
      asked[event.mTenant] += 1;
      scheduleArrival(event.mTenant, event.mTime);
    }
    offered[++nextId] = event;
    apply(queue.Offer(
            { .mId = nextId,
              .mDeadline = now + Seconds(5),
              .mObjective = now + Seconds(1),
              .mRunTime = Millis{ 410 },
              .mRunTimeP75 = Millis{ 510 },
              .mTenant = aLoad.mFair ? "t" + std::to_string(event.mTenant) : "",
              .mWeight = UsualRate(event.mTenant) * 1.6 },
            now),
          event.mTime);
  }
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    served[tenant] /= asked[tenant];
  }
  return served;
}

struct Result
{
  /** Over the tenants that send their usual rate: the mean, the least, and the
   *  mean of the worst tenth of the fractions served. */
  double mMean = 0;
  double mLeast = 0;
  double mWorstTenth = 0;
};

Result
Summarise(const Load& aLoad, const char* aName)
{
  std::vector<double> served = Simulate(aLoad);
  served.erase(served.begin() + kFirstHot,
               served.begin() + kFirstHot + aLoad.mHotTenants);
  std::sort(served.begin(), served.end());
  const std::size_t tenth = served.size() / 10;
  const auto mean = [&](std::size_t aCount) {
    double sum = 0;
    for (std::size_t i = 0; i < aCount; ++i) {
      sum += served[i];
    }
    return sum / static_cast<double>(aCount);
  };
  const Result result{ .mMean = mean(served.size()),
                       .mLeast = served.front(),
                       .mWorstTenth = mean(tenth) };
  std::printf("%s: mean %.3f, least %.3f, worst tenth %.3f\n",
              aName,
              result.mMean,
              result.mLeast,
              result.mWorstTenth);
  return result;
}

// Guards against tenants that are starved while too little capacity is left for
// all, among them the smallest, which sends one request a second.
TEST(FairShares, EachTenantIsServedNearlyAsOftenAsAll)
{
  const Result result = Summarise({}, "usual load");
  EXPECT_GE(result.mLeast, result.mMean / 4);
  // By arrival, all are served equally often but for chance.
  const Result byArrival =
    Summarise({ .mFair = false }, "usual load, by arrival");
  EXPECT_GE(result.mWorstTenth, byArrival.mWorstTenth * 0.95);
}

// Guards against one tenant, or three, that send 7 times their usual rate and
// take the slots of the others.
TEST(FairShares, HotTenantsDoNotDelayTheOthers)
{
  const Result usual = Summarise({}, "usual load");
  const Result none =
    Summarise({ .mFair = false, .mHotTenants = 3 }, "3 hot, by arrival");
  for (const int hot : { 1, 3 }) {
    const Result result = Summarise(
      { .mHotTenants = hot }, hot == 1 ? "1 hot tenant" : "3 hot tenants");
    EXPECT_GE(result.mMean, usual.mMean * 0.9);
    EXPECT_GE(result.mLeast, result.mMean / 4);
    EXPECT_GE(result.mMean, none.mMean * 1.3);
  }
}

// Guards against callers that retry at once and so take the shares of those
// that do not, or of other tenants.
TEST(FairShares, ImmediateRetriesLeaveTheSharesAsTheyAre)
{
  const Result result = Summarise({ .mHotTenants = 1, .mRetryFraction = 0.3 },
                                  "1 hot tenant, 30 % retry");
  EXPECT_GE(result.mLeast, result.mMean / 4);
  EXPECT_GE(result.mWorstTenth, result.mMean * 0.85);
}

// Guards against a tenant that is favoured over a more urgent one because it
// has used less.
TEST(FairShares, PrioritiesGoFirst)
{
  SlotQueue queue(1);
  std::uint64_t id = 0;
  const auto offer = [&](int aPriority, const char* aTenant) {
    static_cast<void>(queue.Offer({ .mId = ++id,
                                    .mPriority = aPriority,
                                    .mDeadline = Seconds(9),
                                    .mObjective = Seconds(9),
                                    .mRunTime = Millis{ 100 },
                                    .mTenant = aTenant },
                                  {}));
  };
  offer(0, "a");
  offer(0, "a");
  offer(0, "a");
  offer(1, "b");
  offer(0, "c");
  const auto next = [&] { return queue.OnFinished({}).mStart.front(); };
  EXPECT_EQ(next(), 5U);
  EXPECT_EQ(next(), 2U);
  EXPECT_EQ(next(), 3U);
  EXPECT_EQ(next(), 4U);
}

// Guards against memory that grows with each name that was ever seen.
TEST(FairShares, TenantsThatAreNotAheadAreForgotten)
{
  FairShares shares;
  FairShares idle;
  for (int i = 0; i < 50000; ++i) {
    const std::string tenant = "t" + std::to_string(i);
    const double tag = shares.Add(tenant, 1, Millis{ 100 });
    shares.OnStarted(tag + 400);
    static_cast<void>(idle.Add(tenant, 1, Millis{ 100 }));
  }
  EXPECT_LE(shares.StoredTenants(), 300U);
  EXPECT_LE(idle.StoredTenants(), 20000U);
}

} // namespace
} // namespace papayaway::gateway
