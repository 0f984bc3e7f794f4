#include <gateway/PackedText.h>

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::gateway {
namespace {

// Guards against a slow restart of a data centre in which one node sends the
// desired state to all others: 20 uncompressed states of 100 KB take 1.6 s on a
// link of 10 Mbit/s.
TEST(PackedText, StateOfManyRoutesShrinksToAFifth)
{
  std::string state;
  for (int i = 0; i < 300; ++i) {
    const std::string number = std::to_string(i * 7919 % 100000);
    state += R"({"name":"r-)" + number +
             R"(","type":"safe","target_latency_ms":600,"priority":2,)"
             R"("match":{"prefix":"/p)" +
             number +
             R"(/"},"action":{"service":"s","timeout_ms":1200,)"
             R"("max_attempts":2}},)";
  }
  EXPECT_LT(Pack(state).size() * 5, state.size());
}

TEST(PackedText, CorruptBytesAreRefused)
{
  const std::string bytes = Pack("some text that is packed");
  EXPECT_FALSE(Unpack(""));
  EXPECT_FALSE(Unpack("abc"));
  EXPECT_FALSE(Unpack(bytes.substr(0, bytes.size() - 3)));
  EXPECT_FALSE(Unpack(std::string(8, '\xff')));
}

RC_GTEST_PROP(PackedText, UnpackRestoresAnyText, (const std::string& aText))
{
  const auto text = Unpack(Pack(aText));
  RC_ASSERT(text.has_value());
  RC_ASSERT(*text == aText);
}

RC_GTEST_PROP(PackedText,
              UnpackOfAnyBytesGivesATextOrAnError,
              (const std::string& aBytes))
{
  const auto text = Unpack(aBytes);
  RC_ASSERT(text || !text.error().mMessage.empty());
}

} // namespace
} // namespace papayaway::gateway
