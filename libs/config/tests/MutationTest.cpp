#include <config/DocumentParser.h>
#include <config/NodeSettings.h>
#include <config/SettingsKeys.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "Samples.h"

namespace papayaway {
namespace {

// Applies a few random edits as caused by manual editing and corrupted
// transfers: bytes replaced, inserted or removed, parts duplicated or
// truncated.
std::string
Mutated(std::string aText)
{
  const int edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !aText.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
    const auto length = *rc::gen::inRange<std::size_t>(1, 40);
    const auto byte = *rc::gen::oneOf(
      rc::gen::arbitrary<char>(),
      rc::gen::element('{', '}', '[', ']', '"', ',', ':', '=', '-', '9', '\n'));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        aText[at] = byte;
        break;
      case 1:
        aText.insert(at, 1, byte);
        break;
      case 2:
        aText.erase(at, length);
        break;
      case 3:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        aText.resize(at);
        break;
    }
  }
  return aText;
}

// Guards against a crash, and against a document that is accepted but differs
// after it is written and parsed again.
RC_GTEST_PROP(Mutation, MutatedDocumentGivesValueOrFindings, ())
{
  const std::string name =
    *rc::gen::element<std::string>("rafiki-move", "lusikakoda", "faulty");
  const auto result =
    ParseDocument(Mutated(ReadRepositoryFile("samples/" + name + ".json")));
  if (result) {
    const bool same = ParseDocument(ToJson(*result)) == result;
    RC_ASSERT(same);
  } else {
    RC_ASSERT(!result.error().empty());
    for (const Finding& finding : result.error()) {
      RC_ASSERT(!finding.mMessage.empty());
    }
  }
}

// Guards against a crash and against settings that lack a required value.
RC_GTEST_PROP(Mutation, MutatedSettingsGiveValueOrFindings, ())
{
  const std::string name = *rc::gen::element<std::string>("node", "faulty");
  const auto result = ParseNodeSettings(
    Mutated(ReadRepositoryFile("samples/" + name + ".ini")), "x.ini");
  if (result) {
    RC_ASSERT(!result->mName.empty());
    RC_ASSERT(result->mPeerKey.size() >= 16U);
    RC_ASSERT(result->mOperatorToken.size() >= 16U);
  } else {
    RC_ASSERT(!result.error().empty());
  }
}

// Guards against a key that the parser accepts but that is missing from the
// reference page or the example.
TEST(Settings, EveryKeyIsOnTheReferencePage)
{
  const std::string page = ReadRepositoryFile("docs/settings.md");
  const std::string example = ReadRepositoryFile("samples/node.ini");
  EXPECT_FALSE(KnownNodeSettingsKeys().empty());
  for (const SettingsKey& key : KnownNodeSettingsKeys()) {
    const std::string row = "| `[" + key.mSection + "] " + key.mName + "` | " +
                            (key.mRequired ? "yes" : "no") + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
    EXPECT_NE(example.find("\n" + key.mName + " = "), std::string::npos) << row;
  }
}

} // namespace
} // namespace papayaway
