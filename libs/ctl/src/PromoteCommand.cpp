#include <ctl/Commands.h>

#include <array>
#include <ostream>

#include <base/Random.h>
#include <config/Diff.h>
#include <config/DocumentParser.h>
#include <config/FindingsJson.h>

#include "DocumentSource.h"
#include "Output.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

// The delays before each retry with the same operation id. Their sum exceeds
// the 5 s after which a failed node is detected, so that another node has taken
// over its role and can reply.
constexpr std::array<double, 5> kRetryDelaysMs = { 200, 400, 800, 1600, 3200 };

struct Promotion
{
  std::string mEnvironment;
  std::uint64_t mParent = 0;
  Document mDocument;
  std::string mOperation;
};

// @return the version in force, or 0 if there is none.
tl::expected<std::uint64_t, ExitCode>
FetchVersion(CtlContext& aContext, const std::string& aEnvironment)
{
  const AdminReply reply = aContext.mClient.GetFromFirst(
    aContext.mOptions.mNodes, "/v1/document?environment=" + aEnvironment);
  if (reply.Answered() && reply.mStatus == 404) {
    return std::uint64_t{ 0 };
  }
  if (!reply.Succeeded()) {
    aContext.mErr << "can't fetch the version of " << aEnvironment << ": "
                  << Printable(reply.ErrorMessage()) << "\n";
    return tl::unexpected(ExitCode::Failed);
  }
  return static_cast<std::uint64_t>(NumberMember(reply.mBody, "version"));
}

tl::expected<Promotion, ExitCode>
Prepare(CtlContext& aContext)
{
  const CtlOptions& options = aContext.mOptions;
  Random random = SeededFromSystem();
  Promotion promotion{ .mEnvironment = options.mEnvironment,
                       .mOperation = RandomId(random) };
  if (options.mFrom.empty()) {
    auto document = ReadDocumentFile(aContext, options.mArguments.front());
    if (!document) {
      return tl::unexpected(document.error());
    }
    promotion.mParent = *options.mParent;
    promotion.mDocument = std::move(*document);
    return promotion;
  }
  if (promotion.mEnvironment.empty()) {
    promotion.mEnvironment = "production";
  }
  auto source = FetchDocument(aContext, options.mFrom);
  if (!source) {
    return tl::unexpected(source.error());
  }
  promotion.mDocument = std::move(source->mDocument);
  if (options.mParent) {
    promotion.mParent = *options.mParent;
    return promotion;
  }
  const auto version = FetchVersion(aContext, promotion.mEnvironment);
  if (!version) {
    return tl::unexpected(version.error());
  }
  promotion.mParent = *version;
  return promotion;
}

ExitCode
ReportDone(CtlContext& aContext,
           const Promotion& aPromotion,
           const AdminReply& aReply)
{
  const std::int64_t version = NumberMember(aReply.mBody, "version");
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, { { "outcome", "done" }, { "version", version } });
  } else {
    aContext.mOut << aPromotion.mEnvironment << " has version " << version
                  << "\n";
  }
  return ExitCode::Done;
}

// Prints the version in force and the changes from its document to the promoted
// one.
ExitCode
ReportLostRace(CtlContext& aContext,
               const Promotion& aPromotion,
               const AdminReply& aReply)
{
  const std::int64_t version = NumberMember(aReply.mBody, "version");
  std::vector<Change> changes;
  bool readable = false;
  if (aReply.mBody.is_object() && aReply.mBody.contains("document")) {
    if (const auto winner = ParseDocument(aReply.mBody["document"])) {
      changes = Diff(*winner, aPromotion.mDocument);
      readable = true;
    }
  }
  if (aContext.mOptions.mJson) {
    Json json = { { "outcome", "lost-race" }, { "version", version } };
    if (readable) {
      json["changes"] = ToJson(changes);
    }
    PrintJson(aContext.mOut, json);
    return ExitCode::LostRace;
  }
  aContext.mOut << "not promoted: " << aPromotion.mEnvironment
                << " has version " << version << ", not the parent "
                << aPromotion.mParent << "\n";
  if (!readable) {
    aContext.mOut << "the node did not send the document in force\n";
  } else if (changes.empty()) {
    aContext.mOut << "your document is equal to the document in force\n";
  } else {
    aContext.mOut << "changes from the document in force to your document:\n"
                  << ToString(changes);
  }
  return ExitCode::LostRace;
}

ExitCode
ReportFindings(CtlContext& aContext, const AdminReply& aReply)
{
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, aReply.mBody);
  } else {
    aContext.mErr << "the node refused the document:\n";
    for (const Finding& finding : FindingsFromJson(aReply.mBody)) {
      aContext.mErr << Printable(finding.ToString()) << "\n";
    }
  }
  return ExitCode::Usage;
}

ExitCode
ReportFailure(CtlContext& aContext,
              const Promotion& aPromotion,
              bool aUnknown,
              const AdminReply& aReply)
{
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut,
              { { "outcome", aUnknown ? "unknown" : "not-run" },
                { "operation", aPromotion.mOperation },
                { "error", aReply.ErrorMessage() } });
  } else {
    aContext.mErr << (aUnknown ? "it is unknown whether the promotion took "
                                 "effect (operation " +
                                   aPromotion.mOperation + "): "
                               : std::string("not promoted: "))
                  << Printable(aReply.ErrorMessage()) << "\n";
  }
  return aUnknown ? ExitCode::OutcomeUnknown : ExitCode::Failed;
}

// Sends the promotion to the nodes in order until one reports the outcome.
ExitCode
Submit(CtlContext& aContext, const Promotion& aPromotion)
{
  const Json body = { { "environment", aPromotion.mEnvironment },
                      { "parent", aPromotion.mParent },
                      { "document", ToJson(aPromotion.mDocument) },
                      { "operation", aPromotion.mOperation } };
  // Stays true once set: a later "not-run" applies to the retry only, while an
  // earlier request may have taken effect.
  bool unknown = false;
  AdminReply reply;
  for (std::size_t round = 0;; ++round) {
    for (const std::string& node : aContext.mOptions.mNodes) {
      reply = aContext.mClient.Post(node, "/v1/promote", body);
      if (!reply.Answered()) {
        unknown = unknown || reply.mMayHaveRun;
        continue;
      }
      if (reply.mStatus == 200) {
        return ReportDone(aContext, aPromotion, reply);
      }
      if (reply.mStatus == 409) {
        return ReportLostRace(aContext, aPromotion, reply);
      }
      if (reply.mStatus == 422) {
        return ReportFindings(aContext, reply);
      }
      if (reply.mStatus < 500) {
        return ReportFailure(aContext, aPromotion, unknown, reply);
      }
      unknown = unknown || reply.mOutcome != "not-run";
    }
    if (!unknown || round == kRetryDelaysMs.size()) {
      return ReportFailure(aContext, aPromotion, unknown, reply);
    }
    aContext.mErr << "no outcome yet (" << Printable(reply.ErrorMessage())
                  << "), retrying with the same operation id\n";
    aContext.mClient.Wait({ kRetryDelaysMs[round] });
  }
}

} // namespace

ExitCode
RunPromote(CtlContext& aContext)
{
  const auto promotion = Prepare(aContext);
  return promotion ? Submit(aContext, *promotion) : promotion.error();
}

} // namespace papayaway
