#include <config/DocumentParser.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Samples.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

// @return "<line> <JSON pointer>" of each finding, sorted.
std::vector<std::string>
Places(const tl::expected<Document, Findings>& aResult)
{
  std::vector<std::string> places;
  if (!aResult) {
    for (const Finding& finding : aResult.error()) {
      places.push_back(std::to_string(finding.mLine) + " " + finding.mPath);
    }
  }
  std::sort(places.begin(), places.end());
  return places;
}

// Guards against a difference between parser and writer, which would change a
// document when it is stored in the table and read back.
TEST(DocumentParser, SamplesRoundTrip)
{
  for (const char* name : { "rafiki", "rafiki-move", "lusikakoda" }) {
    const std::string file = "samples/" + std::string(name) + ".json";
    const auto document = ParseDocument(ReadRepositoryFile(file), file);
    ASSERT_TRUE(document.has_value()) << ToString(document.error());
    EXPECT_EQ(ParseDocument(ToJson(*document)), document) << name;
    EXPECT_EQ(ParseDocument(ToJson(*document).dump(2)), document) << name;
  }
}

TEST(DocumentParser, ReadsEveryField)
{
  const auto document =
    ParseDocument(ReadRepositoryFile("samples/rafiki-move.json"));
  ASSERT_TRUE(document.has_value());
  const Service* hammer = document->FindService("hammer");
  ASSERT_NE(hammer, nullptr);
  const Service expected{ .mName = "hammer",
                          .mVersions = { { "v1", 1000 }, { "v2", 0 } },
                          .mMove = VersionMove{ "v2", Seconds(20), 1 },
                          .mSlots = 12,
                          .mConnections = 120 };
  EXPECT_EQ(*hammer, expected);
  const Route bids{ "/bids", { "POST" }, "hammer", false, { 800 } };
  EXPECT_EQ(document->mRoutes.back(), bids);
  EXPECT_EQ(document->mRegions.front().mDataCentres,
            (std::vector<std::string>{ "nbo-1", "nbo-2" }));
  EXPECT_EQ(document->FindService("absent"), nullptr);
}

// Guards against a missing check, a wrong line number, and a parser that stops
// at the first finding.
TEST(DocumentParser, InvalidSampleGivesAllFindingsWithLineAndPointer)
{
  const auto result = ParseDocument(ReadRepositoryFile("samples/faulty.json"));
  std::vector<std::string> expected = {
    "2 /customer_header",
    "5 /regions/1/data_centres/0",
    "5 /regions/1/data_centres/1",
    "10 /services/0/versions",
    "12 /services/0/versions/1/name",
    "14 /services/0/move/to",
    "14 /services/0/move/deadline_s",
    "15 /services/0/slots",
    "18 /services/1/name",
    "18 /services/1/versions",
    "18 /services/1/slots",
    "18 /services/1/connections",
    "19 /services/2/name",
    "19 /services/2/versions/0/share",
    "22 /routes/0/prefix",
    "22 /routes/0/deadline_ms",
    "23 /routes/1/methods/0",
    "23 /routes/1/service",
    "23 /routes/1/idempotent",
    "24 /routes/2/retries",
    "25 /routes/3/prefix",
    "27 /routes",
  };
  std::sort(expected.begin(), expected.end());
  EXPECT_EQ(Places(result), expected);
  EXPECT_EQ(result.error().back().mLine, 27);
}

// Guards against a line number that is off by one when a newline follows a
// number.
TEST(DocumentParser, LineOfNumberBeforeNewline)
{
  EXPECT_EQ(Places(ParseDocument(R"({"regions":[], "services":[],
"routes":[
7
]})")),
            (std::vector<std::string>{ "3 /routes/0" }));
}

// Guards against input that exhausts memory or the stack before it is rejected.
TEST(DocumentParser, RejectsInputsBeyondLimits)
{
  std::string keys = "{";
  for (int i = 0; i < 100; ++i) {
    keys += "\"k" + std::to_string(i) + "\":0,";
  }
  std::string values = "[0";
  for (int i = 0; i < 70000; ++i) {
    values += ",0";
  }
  for (const std::string& text : { std::string(100000, '['),
                                   std::string((1 << 20) + 1, ' '),
                                   keys + "\"end\":0}",
                                   values + "]",
                                   std::string(),
                                   std::string("[]"),
                                   std::string("{\"a\"") }) {
    const auto result = ParseDocument(text);
    ASSERT_FALSE(result.has_value());
    EXPECT_LE(result.error().size(), 4U);
  }
  Json deep;
  for (int i = 0; i < 1000; ++i) {
    deep = Json::array({ std::move(deep) });
  }
  EXPECT_FALSE(ParseDocument(deep).has_value());
}

// Guards against two routes that match the same request, so that their order
// would decide.
TEST(DocumentParser, RouteWithoutMethodsOverlapsSamePrefix)
{
  Json json = Json::parse(ReadRepositoryFile("samples/rafiki.json"));
  json["routes"][3].erase("methods");
  const auto result = ParseDocument(json);
  EXPECT_EQ(Places(result), std::vector<std::string>{ "0 /routes/4/prefix" });
}

} // namespace
} // namespace papayaway
