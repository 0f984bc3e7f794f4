#include <mesh/DocumentLog.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <base/Hash.h>

namespace papayaway {
namespace {

const auto kAcceptAll = [](const nlohmann::json&) { return Findings{}; };

/** @return the text of a version; odd versions have an additional entry at the
 *    start of a list. */
std::string
TextOf(std::uint64_t aVersion)
{
  nlohmann::json document = { { "version", aVersion },
                              { "list", { "b", "c", "d" } } };
  if (aVersion % 2 == 1) {
    document["list"].insert(document["list"].begin(), "a");
  }
  return document.dump();
}

/** @return a log to which the versions 1 to aVersion were applied as deltas. */
DocumentLog
LogAt(std::uint64_t aVersion)
{
  DocumentLog log;
  for (std::uint64_t version = 1; version <= aVersion; ++version) {
    log.Apply(log.MakeDelta(version, TextOf(version)).value(), kAcceptAll);
  }
  return log;
}

using Update = std::variant<DocumentDelta, FullDocument>;

/** @return updates to 9 versions: full documents, and deltas from the version
 *    1 and 3 before. */
std::vector<Update>
AllUpdates()
{
  std::vector<Update> updates;
  for (std::uint64_t version = 1; version < 10; ++version) {
    updates.emplace_back(FullDocument{ version, TextOf(version) });
    for (const std::uint64_t gap : { 1, 3 }) {
      if (gap <= version) {
        updates.emplace_back(
          LogAt(version - gap).MakeDelta(version, TextOf(version)).value());
      }
    }
  }
  return updates;
}

// Guards against a node that returns to an older document when updates arrive
// in any order, and against a version whose text differs from the promoted one.
RC_GTEST_PROP(DocumentLogProperty, VersionNeverDecreases, ())
{
  static const std::vector<Update> kUpdates = AllUpdates();
  DocumentLog log;
  const auto order = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, kUpdates.size()));
  for (const std::size_t index : order) {
    const std::uint64_t before = log.Version();
    std::visit(
      [&](const auto& aUpdate) {
        const ApplyResult result = log.Apply(aUpdate, kAcceptAll).mResult;
        RC_ASSERT((result == ApplyResult::Applied) == (log.Version() > before));
        RC_ASSERT((result == ApplyResult::AlreadyKnown) ==
                  (aUpdate.mVersion <= before));
      },
      kUpdates[index]);
    RC_ASSERT(log.Version() >= before);
    RC_ASSERT(log.Version() == 0 || log.Text() == TextOf(log.Version()));
  }
}

// Guards against applying a document that has findings, and against a node that
// accepts no further versions after it refused one.
TEST(DocumentLog, RefusedDocumentKeepsCurrentVersion)
{
  DocumentLog log = LogAt(2);
  const auto refuse = [](const nlohmann::json&) {
    return Findings{ Finding{ .mMessage = "unknown service" } };
  };
  const DocumentDelta delta = log.MakeDelta(3, TextOf(3)).value();
  const ApplyReport report = log.Apply(delta, refuse);
  EXPECT_EQ(report.mResult, ApplyResult::Refused);
  EXPECT_EQ(report.mFindings.size(), 1U);
  EXPECT_EQ(log.Version(), 2U);
  EXPECT_EQ(log.Text(), TextOf(2));
  EXPECT_EQ(log.RefusedVersion(), 3U);
  EXPECT_EQ(log.Apply(FullDocument{ 4, TextOf(4) }, kAcceptAll).mResult,
            ApplyResult::Applied);
}

// Guards against patches that crash the node, exhaust its memory or result in a
// text that differs from the promoted one.
TEST(DocumentLog, InapplicablePatchRequiresFullDocument)
{
  const char* const patches[] = {
    "",
    "{}",
    "[1]",
    "[]",
    R"([{"op":"add"}])",
    R"([{"op":"add","path":"/version/a","value":1}])",
    R"([{"op":"add","path":"no-slash","value":1}])",
    R"([{"op":"add","path":"/list/9","value":1}])",
    R"([{"op":"add","path":"/list"}])",
    R"([{"op":"remove","path":""}])",
    R"([{"op":"replace","path":"/list/x","value":1}])",
    R"([{"op":"copy","from":"","path":"/list/0"}])",
  };
  for (const char* const patch : patches) {
    DocumentLog log = LogAt(1);
    const DocumentDelta delta{ 1, 2, Hash64(TextOf(2)), patch };
    EXPECT_EQ(log.Apply(delta, kAcceptAll).mResult,
              ApplyResult::FullDocumentNeeded)
      << patch;
    EXPECT_EQ(log.Text(), TextOf(1));
  }
}

// Guards against a stack overflow when a deeply nested document is serialised.
TEST(DocumentLog, RefusesDeepNesting)
{
  DocumentLog log;
  const std::string deep =
    std::string(1 << 20, '[') + std::string(1 << 20, ']');
  EXPECT_EQ(log.Apply(FullDocument{ 1, deep }, kAcceptAll).mResult,
            ApplyResult::Refused);
  EXPECT_FALSE(log.MakeDelta(1, deep));
}

// Guards against sending deltas that are larger than the full document, and
// against a history that does not lead to the current version.
TEST(DocumentLog, UpdateFromReturnsSmallerForm)
{
  DocumentLog log = LogAt(5);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(log.UpdateFrom(5)));
  EXPECT_TRUE(std::holds_alternative<FullDocument>(log.UpdateFrom(0)));
  DocumentLog behind;
  behind.Apply(FullDocument{ 5, TextOf(5) }, kAcceptAll);
  const std::string large(4096, 'x');
  for (std::uint64_t version = 6; version < 9; ++version) {
    const nlohmann::json text = { { "large", large }, { "v", version } };
    log.Apply(log.MakeDelta(version, text.dump()).value(), kAcceptAll);
  }
  const auto deltas = std::get<std::vector<DocumentDelta>>(log.UpdateFrom(6));
  ASSERT_EQ(deltas.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<FullDocument>(log.UpdateFrom(4)));
  log.Apply(FullDocument{ 9, TextOf(9) }, kAcceptAll);
  EXPECT_TRUE(std::holds_alternative<FullDocument>(log.UpdateFrom(8)));
}

// Guards against a history whose memory grows with the number of promotions.
TEST(DocumentLog, HistoryIsBounded)
{
  DocumentLog log({ .mMaxDeltas = 4 });
  for (std::uint64_t version = 1; version < 20; ++version) {
    const nlohmann::json text = { { "large", std::string(4096, 'x') },
                                  { "v", version } };
    log.Apply(log.MakeDelta(version, text.dump()).value(), kAcceptAll);
  }
  EXPECT_TRUE(
    std::holds_alternative<std::vector<DocumentDelta>>(log.UpdateFrom(15)));
  EXPECT_TRUE(std::holds_alternative<FullDocument>(log.UpdateFrom(14)));
}

} // namespace
} // namespace papayaway
