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
// over its role and can respond.
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
  const AdminResponse response = aContext.mClient.GetFromFirst(
    aContext.mOptions.mNodes, "/v1/document?environment=" + aEnvironment);
  if (response.Answered() && response.mStatus == 404) {
    return std::uint64_t{ 0 };
  }
  if (!response.Succeeded()) {
    aContext.mErr << "can't fetch the version of " << aEnvironment << ": "
                  << Printable(response.ErrorMessage()) << "\n";
    return tl::unexpected(ExitCode::Failed);
  }
  return static_cast<std::uint64_t>(NumberMember(response.mBody, "version"));
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
           const AdminResponse& aResponse)
{
  const std::int64_t version = NumberMember(aResponse.mBody, "version");
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
               const AdminResponse& aResponse)
{
  const std::int64_t version = NumberMember(aResponse.mBody, "version");
  std::vector<Change> changes;
  bool readable = false;
  if (aResponse.mBody.is_object() && aResponse.mBody.contains("document")) {
    if (const auto winner = ParseDocument(aResponse.mBody["document"])) {
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
ReportFindings(CtlContext& aContext, const AdminResponse& aResponse)
{
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut, aResponse.mBody);
  } else {
    aContext.mErr << "the node refused the document:\n";
    for (const Finding& finding : FindingsFromJson(aResponse.mBody)) {
      aContext.mErr << Printable(finding.ToString()) << "\n";
    }
  }
  return ExitCode::Usage;
}

ExitCode
ReportFailure(CtlContext& aContext,
              const Promotion& aPromotion,
              bool aUnknown,
              const AdminResponse& aResponse)
{
  if (aContext.mOptions.mJson) {
    PrintJson(aContext.mOut,
              { { "outcome", aUnknown ? "unknown" : "not-run" },
                { "operation", aPromotion.mOperation },
                { "error", aResponse.ErrorMessage() } });
  } else {
    aContext.mErr << (aUnknown ? "it is unknown whether the promotion took "
                                 "effect (operation " +
                                   aPromotion.mOperation + "): "
                               : std::string("not promoted: "))
                  << Printable(aResponse.ErrorMessage()) << "\n";
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
  AdminResponse response;
  for (std::size_t round = 0;; ++round) {
    for (const std::string& node : aContext.mOptions.mNodes) {
      response = aContext.mClient.Post(node, "/v1/promote", body);
      if (!response.Answered()) {
        unknown = unknown || response.mMayHaveRun;
        continue;
      }
      if (response.mStatus == 200) {
        return ReportDone(aContext, aPromotion, response);
      }
      if (response.mStatus == 409) {
        return ReportLostRace(aContext, aPromotion, response);
      }
      if (response.mStatus == 422) {
        return ReportFindings(aContext, response);
      }
      if (response.mStatus < 500) {
        return ReportFailure(aContext, aPromotion, unknown, response);
      }
      unknown = unknown || response.mOutcome != "not-run";
    }
    if (!unknown || round == kRetryDelaysMs.size()) {
      return ReportFailure(aContext, aPromotion, unknown, response);
    }
    aContext.mErr << "no outcome yet (" << Printable(response.ErrorMessage())
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
