#include <config/DaemonCommand.h>

#include <array>
#include <vector>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

constexpr DaemonProgram kProgram{ .mName = "daemon", .mExitCodes = "0 done." };

tl::expected<DaemonCommand, int>
Parse(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "daemon");
  return ParseDaemonCommand(
    static_cast<int>(aArguments.size()), aArguments.data(), kProgram);
}

// Guards against a daemon that starts without an explicit settings file.
TEST(DaemonCommand, RequiresSettings)
{
  EXPECT_EQ(Parse({}).error(), kExitUsage);
  EXPECT_EQ(Parse({ "--settings" }).error(), kExitUsage);
  EXPECT_EQ(Parse({ "--check-settings" }).error(), kExitUsage);
  EXPECT_EQ(Parse({ "--settings", "f", "--unknown" }).error(), kExitUsage);
}

TEST(DaemonCommand, ReadsSettingsPathAndCheckOption)
{
  EXPECT_EQ(*Parse({ "-s", "f" }), DaemonCommand{ .mSettingsPath = "f" });
  EXPECT_EQ(*Parse({ "--settings", "-", "--check-settings" }),
            (DaemonCommand{ .mSettingsPath = "-", .mCheckOnly = true }));
}

TEST(DaemonCommand, HelpAndVersionExitWithSuccess)
{
  EXPECT_EQ(Parse({ "--help" }).error(), 0);
  EXPECT_EQ(Parse({ "--version" }).error(), 0);
}

TEST(DaemonCommand, ReportsUnreadableFile)
{
  testing::internal::CaptureStderr();
  EXPECT_FALSE(ReadSettingsFile("/nowhere/at/all", kProgram).has_value());
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "daemon: can't read /nowhere/at/all\n");
}

} // namespace
} // namespace papayaway
