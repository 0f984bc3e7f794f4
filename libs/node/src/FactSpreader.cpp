#include "FactSpreader.h"

#include <glog/logging.h>

#include <config/DocumentParser.h>

namespace papayaway {

namespace {

constexpr Millis kDigestPeriod = Seconds(5);
constexpr Millis kExpiryPeriod = Seconds(1);
/** Facts in one message; more are sent in several. */
constexpr std::size_t kMaxFactsPerMessage = 256;

void
SendInBatches(PeerLinks& aLinks, LinkId aLink, const std::vector<Fact>& aFacts)
{
  for (std::size_t i = 0; i < aFacts.size(); i += kMaxFactsPerMessage) {
    const auto first = aFacts.begin() + static_cast<std::ptrdiff_t>(i);
    const std::size_t count = std::min(kMaxFactsPerMessage, aFacts.size() - i);
    aLinks.Send(aLink,
                Facts{ { first, first + static_cast<std::ptrdiff_t>(count) } });
  }
}

} // namespace

FactSpreader::FactSpreader(NodeContext& aContext,
                           PeerLinks& aLinks,
                           FactSpreaderHandlers aHandlers)
  : mContext(aContext)
  , mLinks(aLinks)
  , mHandlers(std::move(aHandlers))
  , mDigestTimer(aContext.mLoop, [this] { OnDigestTimer(); })
  , mExpiryTimer(aContext.mLoop, [this] { mFacts.Expire(WallNow()); })
{
}

void
FactSpreader::Start()
{
  mDigestTimer.StartOnce(mContext.Jittered(kDigestPeriod));
  mExpiryTimer.StartRepeating(kExpiryPeriod);
}

void
FactSpreader::Publish(const Fact& aFact)
{
  if (mFacts.Merge(aFact)) {
    mLinks.Flood(Facts{ { aFact } }, "");
    Changed(aFact);
  }
}

void
FactSpreader::Changed(const Fact& aFact)
{
  mHandlers.mFactChanged(aFact);
}

void
FactSpreader::OnFacts(const LinkInfo& aLink, const Facts& aFacts)
{
  std::vector<Fact> news;
  std::vector<Fact> corrections;
  for (const Fact& fact : aFacts.mFacts) {
    if (mFacts.Merge(fact)) {
      news.push_back(fact);
    } else if (const Fact* const removed = mFacts.RefusedBy(fact)) {
      corrections.push_back(*removed);
    }
  }
  mContext.mMetrics.mFactsMerged.Increment(static_cast<double>(news.size()));
  mContext.mMetrics.mFactsRepeated.Increment(
    static_cast<double>(aFacts.mFacts.size() - news.size()));
  if (!news.empty()) {
    mLinks.Flood(Facts{ news }, aLink.mNode);
  }
  SendInBatches(mLinks, aLink.mId, corrections);
  for (const Fact& fact : news) {
    Changed(fact);
  }
}

void
FactSpreader::OnLinkOpened(const LinkInfo& aLink)
{
  if (aLink.mOutgoing && !aLink.mCallsOnly) {
    SendDigest(aLink.mId, true);
  }
}

void
FactSpreader::SendDigest(LinkId aLink, bool aWantReply)
{
  mLinks.Send(aLink,
              Digest{ .mDocumentVersion = mDocuments.Version(),
                      .mBuckets = mFacts.Digests(),
                      .mWantReply = aWantReply });
}

void
FactSpreader::OnDigestTimer()
{
  const std::vector<LinkInfo> links = mLinks.MeshLinks();
  if (!links.empty()) {
    SendDigest(links[UniformBelow(mContext.mRandom, links.size())].mId, true);
  }
  mDigestTimer.StartOnce(mContext.Jittered(kDigestPeriod));
}

void
FactSpreader::OnDigest(const LinkInfo& aLink, const Digest& aDigest)
{
  const std::vector<std::size_t> differing =
    mFacts.DifferingBuckets(aDigest.mBuckets);
  SendInBatches(mLinks, aLink.mId, mFacts.FactsInBuckets(differing));
  if (aDigest.mDocumentVersion < mDocuments.Version()) {
    SendSince(aLink.mId, aDigest.mDocumentVersion);
  }
  const bool behind = aDigest.mDocumentVersion > mDocuments.Version() &&
                      aDigest.mDocumentVersion > mDocuments.RefusedVersion();
  if (aDigest.mWantReply && !differing.empty()) {
    // The digest makes the sender return what differs on its side, and its
    // document if this node is behind.
    SendDigest(aLink.mId, false);
  } else if (behind) {
    mLinks.Send(aLink.mId, DocumentRequest{ mDocuments.Version() });
  }
}

void
FactSpreader::SendSince(LinkId aLink, std::uint64_t aVersion)
{
  const DocumentUpdate update = mDocuments.Since(aVersion);
  if (const auto* const whole = std::get_if<DocumentWhole>(&update)) {
    mLinks.Send(aLink, *whole);
  } else if (const auto* const deltas =
               std::get_if<std::vector<DocumentDelta>>(&update)) {
    for (const DocumentDelta& delta : *deltas) {
      mLinks.Send(aLink, delta);
    }
  }
}

void
FactSpreader::OnDocumentRequest(const LinkInfo& aLink,
                                const DocumentRequest& aRequest)
{
  SendSince(aLink.mId, aRequest.mHaveVersion);
}

template<typename Update>
ApplyReport
FactSpreader::Apply(const Update& aUpdate, const std::string& aSource)
{
  Document document;
  const auto check = [&](const nlohmann::json& aJson) {
    auto parsed = ParseDocument(aJson);
    if (!parsed) {
      return parsed.error();
    }
    document = std::move(*parsed);
    return Findings();
  };
  const bool first = mDocuments.Version() == 0;
  ApplyReport report = mDocuments.Apply(aUpdate, check);
  const std::string version = std::to_string(aUpdate.mVersion);
  if (report.mResult == ApplyResult::Applied) {
    mDocument = std::move(document);
    if (first) {
      mRecoveredFrom = aSource;
    }
    mContext.mMetrics.mDocumentVersion.Set(
      static_cast<double>(mDocuments.Version()));
    mContext.Record({ .mPart = "mesh",
                      .mKind = EventKind::DocumentApplied,
                      .mVersion = version,
                      .mText = "document version " + version +
                               " is in force, received from " + aSource });
    mHandlers.mDocumentChanged();
  } else if (report.mResult == ApplyResult::Refused) {
    mContext.Record(
      { .mPart = "mesh",
        .mKind = EventKind::DocumentRefused,
        .mVersion = version,
        .mText =
          "document version " + version + " was refused: " +
          (report.mFindings.empty() ? std::string("no finding was given")
                                    : report.mFindings.front().ToString()) });
  }
  return report;
}

Findings
FactSpreader::ApplyWhole(const DocumentWhole& aWhole,
                         const std::string& aSource,
                         const std::string& aExceptNode)
{
  if (aWhole.mVersion <= mDocuments.Version()) {
    return {};
  }
  const Expected<DocumentDelta> delta =
    mDocuments.MakeDelta(aWhole.mVersion, aWhole.mText);
  const ApplyReport report = Apply(aWhole, aSource);
  if (report.mResult != ApplyResult::Applied) {
    return report.mFindings;
  }
  if (delta && delta->mPatch.size() < aWhole.mText.size()) {
    mLinks.Flood(*delta, aExceptNode);
  } else {
    // A peer that is behind answers the digest with a request, so the whole
    // document is sent only where it is missing.
    mLinks.Flood(Digest{ .mDocumentVersion = mDocuments.Version(),
                         .mBuckets = mFacts.Digests() },
                 aExceptNode);
  }
  return {};
}

Findings
FactSpreader::ApplyFromPlatform(std::uint64_t aVersion,
                                const std::string& aText)
{
  return ApplyWhole({ aVersion, aText }, "platform", "");
}

void
FactSpreader::OnDocumentDelta(const LinkInfo& aLink,
                              const DocumentDelta& aDelta)
{
  const ApplyReport report = Apply(aDelta, "neighbour");
  if (report.mResult == ApplyResult::Applied) {
    mLinks.Flood(aDelta, aLink.mNode);
  } else if (report.mResult == ApplyResult::BaseMissing) {
    mLinks.Send(aLink.mId, DocumentRequest{ mDocuments.Version() });
  }
}

void
FactSpreader::OnDocumentWhole(const LinkInfo& aLink,
                              const DocumentWhole& aWhole)
{
  ApplyWhole(aWhole, "neighbour", aLink.mNode);
}

} // namespace papayaway
