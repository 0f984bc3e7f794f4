#include <base/Finding.h>
#include <base/Hash.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

// Guards against an HMAC that differs from the standard (RFC 4231, test case
// 2), so that the authentication of peers fails.
TEST(Hash, HmacMatchesPublishedVector)
{
  EXPECT_EQ(HmacSha256("Jefe", "what do ya want for nothing?"),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against accepting a prefix of a token in place of the token.
TEST(Hash, ConstantTimeComparisonRejectsPrefix)
{
  EXPECT_TRUE(EqualConstantTime("token", "token"));
  EXPECT_FALSE(EqualConstantTime("token", "toke"));
  EXPECT_FALSE(EqualConstantTime("token", "tokem"));
}

// Guards against findings without the location that editors can open.
TEST(Finding, PrintsFileLineAndPath)
{
  const Finding finding{ "doc.json", 4, "/routes/0", "unknown service" };
  EXPECT_EQ(finding.ToString(), "doc.json:4: /routes/0: unknown service");
}

} // namespace
} // namespace papayaway
