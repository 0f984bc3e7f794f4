#include <gateway/TextDelta.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::gateway {
namespace {

std::string
MakeState(int aVersion, int aRules, int aChanged)
{
  std::string text =
    "{\"version\":\"" + std::to_string(aVersion) + "\",\"rules\":[";
  for (int i = 0; i < aRules; ++i) {
    text += (i > 0 ? "," : "") + std::string("{\"prefix\":\"/rule") +
            std::to_string(i) +
            "/\",\"timeout\":" + std::to_string(i == aChanged ? 777 : 1000) +
            "}";
  }
  return text + "]}";
}

std::size_t
EncodedSize(const TextDelta& aDelta)
{
  std::size_t size = 8;
  for (const DeltaPart& part : aDelta.mParts) {
    size += 8 + part.mBytes.size();
  }
  return size;
}

// Guards against sending hundreds of kilobytes when one rule changes: on a host
// with a link of 10 Mbit/s they delay requests by more than a second.
TEST(TextDelta, DeltaOfOneChangedRuleIsSmall)
{
  const std::string before = MakeState(1, 800, -1);
  const std::string after = MakeState(2, 800, 400);
  const TextDelta delta = MakeDelta(before, after);
  EXPECT_LT(EncodedSize(delta), 400U);
  EXPECT_EQ(*ApplyDelta(before, delta), after);
}

// Guards against a corrupt desired state made by applying a delta to a text
// other than the one that it was made from.
TEST(TextDelta, ApplyingToAnotherTextFails)
{
  const TextDelta delta = MakeDelta(MakeState(1, 50, -1), MakeState(2, 50, 7));
  EXPECT_FALSE(ApplyDelta(MakeState(3, 50, 9), delta));
  EXPECT_FALSE(ApplyDelta("", delta));
}

RC_GTEST_PROP(TextDelta, AppliedDeltaGivesTheNewText, ())
{
  const auto pieces =
    rc::gen::container<std::string>(rc::gen::element('a', 'b', '{', '}', ','));
  const std::string before = *pieces;
  const std::string after = *pieces;
  const auto result = ApplyDelta(before, MakeDelta(before, after));
  RC_ASSERT(result.has_value());
  RC_ASSERT(*result == after);
}

} // namespace
} // namespace papayaway::gateway
