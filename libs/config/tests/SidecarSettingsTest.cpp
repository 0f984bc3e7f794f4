#include <config/SidecarSettings.h>

#include <fstream>
#include <iterator>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(std::string(PAPAYAWAY_SOURCE_DIR) + "/" + aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

TEST(SidecarSettings, ReadsSample)
{
  const auto settings =
    ParseSidecarSettings(ReadFile("samples/sidecar.ini"), "sidecar.ini");
  ASSERT_TRUE(settings) << ToString(settings.error());
  EXPECT_EQ(settings->mName, "sidecar-a-1");
  EXPECT_EQ(settings->mGracePeriod, Seconds(6));
  EXPECT_EQ(settings->mMaxRetryFraction, 0.2);
  EXPECT_FALSE(settings->mFirstStart);
}

TEST(SidecarSettings, AllFindingsAreReportedWithTheirLines)
{
  const auto settings = ParseSidecarSettings("[node]\n"
                                             "name = a b\n"
                                             "first_start = maybe\n"
                                             "odd = 1\n"
                                             "[limits]\n"
                                             "repeat_share = 2\n"
                                             "quota_window_ms = 10\n"
                                             "strict_revocation = 1\n",
                                             "x.ini");
  ASSERT_FALSE(settings);
  const std::string text = ToString(settings.error());
  for (const char* part : { "x.ini:2: [node] name",
                            "x.ini:3: [node] first_start",
                            "x.ini:4: [node] odd: unknown key",
                            "x.ini:6: [limits] repeat_share",
                            "x.ini:7: [limits] quota_window_ms",
                            "x.ini:8: [limits] strict_revocation",
                            "[store] address: the key is missing" }) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

// Guards against a key that the parser accepts but that is missing from the
// reference page, the sample or the template of the platform.
TEST(SidecarSettings, EveryKeyIsDocumented)
{
  const std::string page = ReadFile("docs/settings.md");
  const std::string sample = ReadFile("samples/sidecar.ini");
  // Limits that only some installations have are in an environment variable.
  const std::string settingsTemplate =
    ReadFile("deploy/sidecar.ini") + ReadFile("deploy/system.toml");
  for (const SettingsKey& key : KnownSidecarSettingsKeys()) {
    const std::string row = "| `[" + key.mSection + "] " + key.mName + "` | " +
                            (key.mRequired ? "yes" : "no") + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
    const std::string line = "\n" + key.mName + " = ";
    EXPECT_NE(sample.find(line), std::string::npos) << line;
    EXPECT_NE(settingsTemplate.find(line), std::string::npos) << line;
  }
}

// Guards against a crash on settings with a corrupted byte.
RC_GTEST_PROP(SidecarSettings, MutatedTextGivesValueOrFindings, ())
{
  std::string text = ReadFile("samples/sidecar.ini");
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  const auto settings = ParseSidecarSettings(text, "x.ini");
  RC_ASSERT(settings || !settings.error().empty());
}

} // namespace
} // namespace papayaway
