#include <sidecar/TargetDirectory.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace papayaway::sidecar {
namespace {

// Guards against a call that leaves for a node outside of the regions of its
// route and tenant or in an evacuated data centre, on the first attempt, after
// a refusal or after a failure, and against a target that may run a request but
// is not offered. Load: homed routes and tenants while nodes fail and data
// centres are evacuated.
TEST(TargetDirectory, NoAttemptLeavesForATargetThatIsNotAllowed)
{
  Random random(1);
  // Names of the form PREFIX0 to PREFIX8, of which the last belong to no node.
  const auto someNames = [&](const std::string& aPrefix) {
    std::vector<std::string> some(UniformBelow(random, 4));
    for (std::string& name : some) {
      name = aPrefix + std::to_string(UniformBelow(random, 9));
    }
    return some;
  };
  const auto lists = [](const std::vector<std::string>& aList,
                        const std::string& aName) {
    return std::count(aList.begin(), aList.end(), aName) > 0;
  };
  for (int run = 0; run < 300; ++run) {
    const std::vector<std::string> down = someNames("n");
    const std::vector<std::string> evacuated = someNames("d");
    const std::vector<std::string> route = someNames("r");
    const std::vector<std::string> tenant = someNames("r");
    TargetDirectory directory(
      "d0",
      "r0",
      [&](const gateway::NodeRecord& aRecord, std::optional<Millis>, Millis) {
        return !lists(down, aRecord.mNode);
      });
    gateway::EvacuationSet evacuations;
    evacuations.Replace({ 1, { evacuated.begin(), evacuated.end() } });
    std::vector<std::string> allowed;
    for (int i = 0; i < 9; ++i) {
      const std::uint64_t place = UniformBelow(random, 6);
      gateway::NodeRecord record{ .mNode = "n" + std::to_string(i),
                                  .mDataCentre = "d" + std::to_string(place),
                                  .mRegion = "r" + std::to_string(place / 2),
                                  .mPeerAddress = std::to_string(i) };
      record.mTarget = { .mId = "i",
                         .mService = "s",
                         .mState = gateway::TargetState::Ready };
      directory.Merge(record);
      if (!lists(down, record.mNode) && !lists(evacuated, record.mDataCentre) &&
          (route.empty() || lists(route, record.mRegion)) &&
          (tenant.empty() || lists(tenant, record.mRegion))) {
        allowed.push_back(record.mNode);
      }
    }
    std::vector<std::string> excluded;
    while (true) {
      std::vector<std::string> offered;
      for (const gateway::TargetCandidate& candidate : directory.Candidates(
             { .mService = "s",
               .mVersion = {},
               .mExcluded = excluded,
               .mPlacement = { Intersect(gateway::AllowedRegions(route),
                                         gateway::AllowedRegions(tenant)),
                               &evacuations } })) {
        offered.emplace_back(candidate.mNode);
      }
      ASSERT_EQ(offered, allowed) << "run " << run;
      if (offered.empty()) {
        break;
      }
      // The chosen target refuses or fails the attempt.
      excluded.push_back(allowed.front());
      allowed.erase(allowed.begin());
    }
  }
}

} // namespace
} // namespace papayaway::sidecar
