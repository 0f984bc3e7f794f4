#include <gateway/TextDelta.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::gateway {
namespace {

std::string
State(int aVersion, int aRules, int aChanged)
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
SizeOf(const TextDelta& aDelta)
{
  std::size_t size = 8;
  for (const DeltaPart& part : aDelta.mParts) {
    size += 8 + part.mBytes.size();
  }
  return size;
}

// Guards against a change of one rule that sends hundreds of kilobytes: on a
// host with 10 Mbit/s they delayed requests by more than a second.
TEST(TextDelta, ChangeOfOneRuleIsSmall)
{
  const std::string before = State(1, 800, -1);
  const std::string after = State(2, 800, 400);
  const TextDelta delta = MakeDelta(before, after);
  EXPECT_LT(SizeOf(delta), 400U);
  EXPECT_EQ(*ApplyDelta(before, delta), after);
}

// Guards against a state that is put together from another base.
TEST(TextDelta, AnotherBaseIsRefused)
{
  const TextDelta delta = MakeDelta(State(1, 50, -1), State(2, 50, 7));
  EXPECT_FALSE(ApplyDelta(State(3, 50, 9), delta));
  EXPECT_FALSE(ApplyDelta("", delta));
}

RC_GTEST_PROP(TextDelta, AnyPairOfTextsComesBack, ())
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
