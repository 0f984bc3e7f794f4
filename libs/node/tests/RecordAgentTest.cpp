#include <gtest/gtest.h>

#include "RecordAgent.h"
#include "RecordExporter.h"

namespace papayaway {
namespace {

LinkInfo
Link(const std::string& aNode,
     const std::string& aDataCentre,
     const std::string& aRegion)
{
  return { .mNode = aNode, .mDataCentre = aDataCentre, .mRegion = aRegion };
}

// Guards against copies that are sent over the billed link between regions, and
// against sending all copies again because a new neighbour has linked.
TEST(ChooseCopyHolder, PrefersTheCurrentThenTheNearest)
{
  const LinkInfo otherRegion = Link("a", "msa-1", "mombasa");
  const LinkInfo sameRegion = Link("b", "nbo-2", "nairobi");
  const LinkInfo sameDataCentreD = Link("d", "nbo-1", "nairobi");
  const LinkInfo sameDataCentreC = Link("c", "nbo-1", "nairobi");
  EXPECT_EQ(ChooseCopyHolder(
              { otherRegion, sameRegion, sameDataCentreD, sameDataCentreC },
              "nbo-1",
              "nairobi",
              ""),
            "c");
  EXPECT_EQ(ChooseCopyHolder(
              { sameDataCentreC, sameDataCentreD }, "nbo-1", "nairobi", "d"),
            "d");
  EXPECT_EQ(
    ChooseCopyHolder({ sameDataCentreC, otherRegion }, "nbo-1", "nairobi", "d"),
    "c");
  EXPECT_EQ(
    ChooseCopyHolder({ otherRegion, sameRegion }, "nbo-1", "nairobi", ""), "b");
  EXPECT_EQ(ChooseCopyHolder({ otherRegion }, "nbo-1", "nairobi", ""), "");
}

// Guards against an export that looks complete although records are missing.
TEST(RecordExporter, JsonListsGapsAndFindings)
{
  RecordExport result;
  EXPECT_EQ(ToJson("x", result)["complete"], true);
  IncarnationRecords records{ .mCustomer = "x",
                              .mNode = "n",
                              .mIncarnation = 5,
                              .mRanges = { { 1, 2 }, { 5, 6 } },
                              .mFinal = 6,
                              .mLines = "{}\n" };
  result.mIncarnations = { records };
  EXPECT_EQ(ToJson("x", result)["complete"], true);
  result.mIncarnations[0].mGaps = { { { 3, 4 }, true } };
  const auto json = ToJson("x", result);
  EXPECT_EQ(json["complete"], false);
  EXPECT_EQ(json["incarnations"][0]["gaps"],
            nlohmann::json::parse(R"([{"first":3,"last":4,"dropped":true}])"));
  EXPECT_EQ(json["incarnations"][0]["final"], 6);
  result.mIncarnations.clear();
  result.mFindings = { { .mPath = "object", .mMessage = "broken" } };
  EXPECT_EQ(ToJson("x", result)["complete"], false);
}

} // namespace
} // namespace papayaway
