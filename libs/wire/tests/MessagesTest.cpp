#include <wire/Messages.h>

#include <cmath>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <wire/Bounds.h>

#include "Generators.h"

namespace papayaway {
namespace {

using rc::gen::arbitrary;
using rc::gen::construct;
using rc::gen::inRange;

rc::Gen<std::uint64_t>
AnyCounter()
{
  return inRange<std::uint64_t>(0, kMaxCounter);
}

/** Arbitrary bytes, which need not be valid UTF-8. */
rc::Gen<std::string>
AnyBytes()
{
  return arbitrary<std::string>();
}

rc::Gen<HeaderList>
AnyHeaders()
{
  return rc::gen::container<HeaderList>(rc::gen::pair(AnyBytes(), AnyBytes()));
}

rc::Gen<Digest>
AnyDigest()
{
  return rc::gen::apply(
    [](std::uint64_t aVersion, std::uint64_t aBucket, bool aWant) {
      Digest digest{ .mDocumentVersion = aVersion, .mWantReply = aWant };
      digest.mBuckets[aVersion % kDigestBuckets] = aBucket;
      return digest;
    },
    AnyCounter(),
    arbitrary<std::uint64_t>(),
    arbitrary<bool>());
}

template<typename T>
rc::Gen<Message>
AsMessage(rc::Gen<T> aGen)
{
  return rc::gen::map(std::move(aGen),
                      [](T aItem) { return Message(std::move(aItem)); });
}

rc::Gen<Message>
AnyMessage()
{
  const auto name = AnyName();
  const auto counter = AnyCounter();
  const auto flag = arbitrary<bool>();
  const auto count = inRange(0, 1000);
  const auto real = rc::gen::cast<double>(inRange(0, 1 << 20));
  return rc::gen::oneOf(
    AsMessage(construct<Hello>(name, name, name, name, counter, flag)),
    AsMessage(construct<Heartbeat>(counter)),
    AsMessage(
      construct<Facts>(rc::gen::container<std::vector<Fact>>(AnyFact()))),
    AsMessage(construct<DocumentDelta>(
      counter, counter, arbitrary<std::uint64_t>(), name)),
    AsMessage(construct<FullDocument>(counter, name)),
    AsMessage(construct<DocumentRequest>(counter)),
    AsMessage(AnyDigest()),
    AsMessage(construct<Call>(counter,
                              name,
                              name,
                              name,
                              flag,
                              AnyBytes(),
                              AnyBytes(),
                              AnyBytes(),
                              AnyHeaders(),
                              AnyBytes(),
                              AnyBytes(),
                              AnyTime(),
                              count)),
    AsMessage(construct<Reply>(counter,
                               count,
                               AnyHeaders(),
                               AnyBytes(),
                               AnyEnum(Outcome::Unknown),
                               count)),
    AsMessage(construct<Cancel>(counter)),
    AsMessage(construct<Intent>(counter, name, AnyBytes())),
    AsMessage(construct<IntentAck>(counter)),
    AsMessage(
      construct<KeyOutcome>(name, AnyBytes(), count, AnyHeaders(), AnyBytes())),
    AsMessage(construct<Evidence>(
      name, name, name, name, counter, counter, real, real)),
    AsMessage(construct<RecordCopy>(
      name, counter, counter, counter, AnyBytes(), AnyBytes(), flag)),
    AsMessage(construct<ErrorMessage>(AnyBytes())),
    AsMessage(construct<CrashReport>(
      name, name, rc::gen::container<std::vector<std::string>>(name))),
    AsMessage(construct<SuspectCompleted>(name, name)));
}

std::string
CborOf(const nlohmann::json& aJson)
{
  std::string bytes;
  nlohmann::json::to_cbor(aJson, bytes);
  return bytes;
}

// Guards against fields that are encoded and decoded differently.
RC_GTEST_PROP(Messages, DecodeRestoresWhatEncodeWrote, ())
{
  const Message message = *AnyMessage();
  const Expected<Message> decoded = Decode(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

// Guards against a crash when a faulty peer sends corrupted messages: they are
// either refused or decoded to a message that can be encoded again.
RC_GTEST_PROP(Messages, DecodeSurvivesChangedBytes, ())
{
  std::string bytes = Encode(*AnyMessage());
  const auto changes =
    *rc::gen::container<std::vector<std::size_t>>(arbitrary<std::size_t>());
  for (const std::size_t change : changes) {
    bytes[change % bytes.size()] = static_cast<char>(change >> 32);
  }
  if (*arbitrary<bool>()) {
    bytes.resize(*inRange<std::size_t>(0, bytes.size()));
  }
  const Expected<Message> decoded = Decode(bytes);
  if (decoded) {
    RC_ASSERT(Decode(Encode(*decoded)).value() == *decoded);
  } else {
    RC_ASSERT(!decoded.error().mMessage.empty());
  }
}

// Guards against a crash when the input has nothing in common with a message.
RC_GTEST_PROP(Messages,
              DecodeSurvivesArbitraryBytes,
              (const std::string& aText))
{
  (void)Decode(aText);
}

// Guards against a stack overflow in the recursive CBOR parser.
TEST(Messages, RefusesDeepNesting)
{
  EXPECT_FALSE(Decode(std::string(1 << 20, '\x81')));
  EXPECT_FALSE(Decode(std::string(1 << 20, '\x5F')));
  EXPECT_FALSE(Decode(std::string(1 << 20, '\xC1')));
}

// Guards against exceptions and large allocations when a declared length
// exceeds the frame.
TEST(Messages, RefusesImpossibleLengths)
{
  for (const char* const head : { "\x9B", "\xBB", "\x5B", "\x7B" }) {
    EXPECT_FALSE(Decode(std::string(head) + std::string(8, '\xFF')));
  }
}

// Guards against a small frame that needs a large amount of memory when it is
// decoded.
TEST(Messages, RefusesTooManyValues)
{
  EXPECT_FALSE(Decode(CborOf(std::vector<int>(kMaxValues))));
  EXPECT_EQ(Decode(std::string(kMaxMessage + 1, '\0')).error().mCode,
            ErrorCode::TooLarge);
}

struct BadMessage
{
  const char* mFault;
  nlohmann::json mJson;
};

// Guards against invalid values that reach code which relies on Decode() to
// have checked them.
TEST(Messages, RefusesFieldsOutOfBounds)
{
  const nlohmann::json relay = {
    { "k", 2 }, { "d", "x" }, { "n", "x" }, { "p", "x" }, { "t", 1 }
  };
  const auto changed = [&relay](const char* aKey, nlohmann::json aValue) {
    nlohmann::json fact = relay;
    fact[aKey] = std::move(aValue);
    return nlohmann::json{ { "t", 2 }, { "f", { fact } } };
  };
  ASSERT_TRUE(Decode(CborOf(changed("t", 1))));
  const std::vector<BadMessage> cases{
    { "not a map", nlohmann::json::array() },
    { "unknown message type", { { "t", std::variant_size_v<Message> } } },
    { "negative type", { { "t", -1 } } },
    { "missing field", { { "t", 1 } } },
    { "wrong type", { { "t", 1 }, { "c", "1" } } },
    { "counter too large", { { "t", 1 }, { "c", kMaxCounter + 1 } } },
    { "wrong number of buckets",
      { { "t", 6 }, { "v", 1 }, { "b", { 1 } }, { "w", true } } },
    { "unknown kind of fact", changed("k", std::variant_size_v<Fact>) },
    { "enumeration value out of range",
      { { "t", 2 },
        { "f",
          { { { "k", 0 },
              { "n", "" },
              { "d", "" },
              { "r", "" },
              { "p", "" },
              { "a", "" },
              { "i", 1 },
              { "s", 4 } } } } } },
    { "text that is not UTF-8", changed("n", "\xFF") },
    { "overlong UTF-8 encoding", changed("n", "\xC0\x80") },
    { "name too long", changed("n", std::string(kMaxName + 1, 'a')) },
    { "time that is NaN",
      { { "t", 2 },
        { "f",
          { { { "k", 4 },
              { "f", "" },
              { "v", "" },
              { "l", false },
              { "q", 1 },
              { "e", std::nan("") } } } } } },
  };
  for (const BadMessage& bad : cases) {
    EXPECT_FALSE(Decode(CborOf(bad.mJson))) << bad.mFault;
  }
}

} // namespace
} // namespace papayaway
