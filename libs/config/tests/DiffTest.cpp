#include <config/Diff.h>
#include <config/DocumentParser.h>
#include <config/FindingsJson.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Samples.h"

namespace papayaway {
namespace {

Document
Sample(const std::string& aName)
{
  return ParseDocument(ReadRepositoryFile("samples/" + aName)).value();
}

// Guards against a kind of change that is missing from the diff that an
// operator reviews before a promotion.
TEST(Diff, ListsAddedRemovedAndChangedValues)
{
  Document before = Sample("rafiki.json");
  Document after = Sample("rafiki-move.json");
  after.mServices[1].mSlots = 10;
  after.mRoutes.erase(after.mRoutes.begin());
  after.mRegions[0].mDataCentres.push_back("nbo-3");
  EXPECT_EQ(
    ToString(Diff(before, after)),
    "added regions[nairobi].data_centres[nbo-3]: \"nbo-3\"\n"
    "removed routes[GET /lots]: {\"deadline_ms\":500,\"idempotent\":true,"
    "\"methods\":[\"GET\"],\"prefix\":\"/lots\",\"service\":\"ledger\"}\n"
    "added services[hammer].move: "
    "{\"attempt\":1,\"deadline_s\":20,\"to\":\"v2\"}\n"
    "changed services[hammer].slots: 12 -> 10\n"
    "added services[hammer].versions[v2]: {\"name\":\"v2\",\"share\":0}\n");
  const nlohmann::json slots = { { "kind", "changed" },
                                 { "path", "services[hammer].slots" },
                                 { "old", 12 },
                                 { "new", 10 } };
  EXPECT_EQ(ToJson(Diff(before, after))[3], slots);
}

// Guards against reporting elements as changed that were only reordered.
TEST(Diff, IgnoresOrderOfElements)
{
  const Document before = Sample("rafiki.json");
  Document after = before;
  std::swap(after.mRoutes[0], after.mRoutes[3]);
  std::swap(after.mServices[0], after.mServices[1]);
  std::swap(after.mRegions[0], after.mRegions[1]);
  EXPECT_EQ(Diff(before, after), std::vector<Change>());
}

TEST(FindingsJson, RoundTrip)
{
  const Findings findings = { { "a.json", 3, "/routes/0", "unknown key" },
                              { "", 0, "", "too large" } };
  EXPECT_EQ(FindingsFromJson(ToJson(findings)), findings);
  EXPECT_EQ(FindingsFromJson(nlohmann::json::array()), Findings());
}

} // namespace
} // namespace papayaway
