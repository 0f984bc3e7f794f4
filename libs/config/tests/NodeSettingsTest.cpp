#include <config/NodeSettings.h>
#include <config/SettingsKeys.h>

#include <gtest/gtest.h>

#include "Samples.h"

namespace papayaway {
namespace {

TEST(NodeSettings, ReadsEveryValueOfSample)
{
  const auto settings =
    ParseNodeSettings(ReadRepositoryFile("samples/node.ini"), "node.ini");
  ASSERT_TRUE(settings.has_value()) << ToString(settings.error());
  const NodeSettings expected{
    .mName = "nbo-1-ledger-1",
    .mDataCentre = "nbo-1",
    .mRegion = "nairobi",
    .mEnvironment = "production",
    .mCallerAddress = "127.0.0.1:8080",
    .mAdminAddress = "127.0.0.1:8081",
    .mPeerAddress = "127.0.0.1:8082",
    .mPlatformAddress = "127.0.0.1:9000",
    .mSeeds = { "127.0.0.1:8182", "127.0.0.1:8282", "127.0.0.1:8382" },
    .mPeerKey = "replace-this-peer-key",
    .mOperatorToken = "replace-this-operator-token",
  };
  EXPECT_EQ(*settings, expected);
}

// Guards against a missing check, a wrong line number, and a reader that stops
// at the first finding, since libinih reports only the first syntax error.
TEST(NodeSettings, InvalidSampleGivesAllFindingsWithLineAndKey)
{
  const auto settings =
    ParseNodeSettings(ReadRepositoryFile("samples/faulty.ini"), "faulty.ini");
  ASSERT_FALSE(settings.has_value());
  std::vector<std::string> places;
  for (const Finding& finding : settings.error()) {
    EXPECT_EQ(finding.mFile, "faulty.ini");
    places.push_back(std::to_string(finding.mLine) + " " + finding.mPath);
  }
  const std::vector<std::string> expected = {
    "3 [node] name",
    "5 [node] data_centre",
    "6 [node] colour",
    "9 [listen] caller",
    "10 [listen] admin",
    "11 ",
    "14 [platform] address",
    "17 [peers] seeds",
    "18 [peers] key",
    "21 [limits] max_body",
    "22 [limits] drain_timeout_ms",
    "24 [extras]",
    "26 ",
    "0 [node] region",
    "0 [listen] peer",
    "0 [operator] token",
  };
  EXPECT_EQ(places, expected);
}

// Guards against a long line that is truncated and then read as a shorter
// value.
TEST(NodeSettings, LongLineIsRejectedNotTruncated)
{
  const std::string text = ReadRepositoryFile("samples/node.ini") +
                           "[peers]\nseeds = " + std::string(500, ' ') +
                           "127.0.0.1:1\n";
  const auto settings = ParseNodeSettings(text, "");
  ASSERT_FALSE(settings.has_value());
  EXPECT_EQ(settings.error().size(), 1U) << ToString(settings.error());
}

// Guards against a secret in the text of a finding, which may be logged.
TEST(NodeSettings, FindingsDoNotShowSecrets)
{
  const auto settings = ParseNodeSettings(
    "[peers]\nkey = tiny-key\n[operator]\ntoken = tiny\n", "");
  ASSERT_FALSE(settings.has_value());
  EXPECT_EQ(ToString(settings.error()).find("tiny"), std::string::npos);
}

} // namespace
} // namespace papayaway
