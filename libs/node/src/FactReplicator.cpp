#include "FactReplicator.h"

#include <glog/logging.h>

#include <config/DocumentParser.h>

namespace papayaway {

namespace {

constexpr Millis kDigestPeriod = Seconds(5);
constexpr Millis kExpiryPeriod = Seconds(1);
/** Bounds the size of a message; more facts are split into several. */
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

FactReplicator::FactReplicator(NodeContext& aContext,
                               PeerLinks& aLinks,
                               FactReplicatorHandlers aHandlers)
  : mContext(aContext)
  , mLinks(aLinks)
  , mHandlers(std::move(aHandlers))
  , mDigestTimer(aContext.mLoop, [this] { OnDigestTimer(); })
  , mExpiryTimer(aContext.mLoop, [this] { mFacts.Expire(WallNow()); })
{
}

void
FactReplicator::Start()
{
  mDigestTimer.StartOnce(mContext.Jittered(kDigestPeriod));
  mExpiryTimer.StartRepeating(kExpiryPeriod);
}

void
FactReplicator::Publish(const Fact& aFact)
{
  if (mFacts.Merge(aFact)) {
    mLinks.Broadcast(Facts{ { aFact } }, "");
    NotifyFactChanged(aFact);
  }
}

void
FactReplicator::NotifyFactChanged(const Fact& aFact)
{
  mHandlers.mFactChanged(aFact);
}

void
FactReplicator::OnFacts(const LinkInfo& aLink, const Facts& aFacts)
{
  std::vector<Fact> newFacts;
  std::vector<Fact> corrections;
  for (const Fact& fact : aFacts.mFacts) {
    if (mFacts.Merge(fact)) {
      newFacts.push_back(fact);
    } else if (const Fact* const removed = mFacts.SupersedingTombstone(fact)) {
      corrections.push_back(*removed);
    }
  }
  mContext.mMetrics.mFactsMerged.Increment(
    static_cast<double>(newFacts.size()));
  mContext.mMetrics.mFactsRepeated.Increment(
    static_cast<double>(aFacts.mFacts.size() - newFacts.size()));
  if (!newFacts.empty()) {
    mLinks.Broadcast(Facts{ newFacts }, aLink.mNode);
  }
  SendInBatches(mLinks, aLink.mId, corrections);
  for (const Fact& fact : newFacts) {
    NotifyFactChanged(fact);
  }
}

void
FactReplicator::OnLinkOpened(const LinkInfo& aLink)
{
  if (aLink.mOutgoing && !aLink.mCallsOnly) {
    SendDigest(aLink.mId, true);
  }
}

void
FactReplicator::SendDigest(LinkId aLink, bool aWantReply)
{
  mLinks.Send(aLink,
              Digest{ .mDocumentVersion = mDocuments.Version(),
                      .mBuckets = mFacts.Digests(),
                      .mWantReply = aWantReply });
}

void
FactReplicator::OnDigestTimer()
{
  const std::vector<LinkInfo> links = mLinks.MeshLinks();
  if (!links.empty()) {
    SendDigest(links[UniformBelow(mContext.mRandom, links.size())].mId, true);
  }
  mDigestTimer.StartOnce(mContext.Jittered(kDigestPeriod));
}

void
FactReplicator::OnDigest(const LinkInfo& aLink, const Digest& aDigest)
{
  const std::vector<std::size_t> differing =
    mFacts.DifferingBuckets(aDigest.mBuckets);
  SendInBatches(mLinks, aLink.mId, mFacts.FactsInBuckets(differing));
  if (aDigest.mDocumentVersion < mDocuments.Version()) {
    SendDocumentSince(aLink.mId, aDigest.mDocumentVersion);
  }
  const bool behind = aDigest.mDocumentVersion > mDocuments.Version() &&
                      aDigest.mDocumentVersion > mDocuments.RefusedVersion();
  if (aDigest.mWantReply && !differing.empty()) {
    // In response to this digest the peer sends its facts of the differing
    // buckets, and its document if it is newer.
    SendDigest(aLink.mId, false);
  } else if (behind) {
    mLinks.Send(aLink.mId, DocumentRequest{ mDocuments.Version() });
  }
}

void
FactReplicator::SendDocumentSince(LinkId aLink, std::uint64_t aVersion)
{
  const DocumentUpdate update = mDocuments.UpdateFrom(aVersion);
  if (const auto* const fullDocument = std::get_if<FullDocument>(&update)) {
    mLinks.Send(aLink, *fullDocument);
  } else if (const auto* const deltas =
               std::get_if<std::vector<DocumentDelta>>(&update)) {
    for (const DocumentDelta& delta : *deltas) {
      mLinks.Send(aLink, delta);
    }
  }
}

void
FactReplicator::OnDocumentRequest(const LinkInfo& aLink,
                                  const DocumentRequest& aRequest)
{
  SendDocumentSince(aLink.mId, aRequest.mHaveVersion);
}

template<typename Update>
ApplyReport
FactReplicator::Apply(const Update& aUpdate, const std::string& aSource)
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
FactReplicator::ApplyFullDocument(const FullDocument& aFullDocument,
                                  const std::string& aSource,
                                  const std::string& aExceptNode)
{
  if (aFullDocument.mVersion <= mDocuments.Version()) {
    return {};
  }
  const Expected<DocumentDelta> delta =
    mDocuments.MakeDelta(aFullDocument.mVersion, aFullDocument.mText);
  const ApplyReport report = Apply(aFullDocument, aSource);
  if (report.mResult != ApplyResult::Applied) {
    return report.mFindings;
  }
  if (delta && delta->mPatch.size() < aFullDocument.mText.size()) {
    mLinks.Broadcast(*delta, aExceptNode);
  } else {
    // A peer with an older version answers the digest with a request, so the
    // full document is sent only to peers that lack it.
    mLinks.Broadcast(Digest{ .mDocumentVersion = mDocuments.Version(),
                             .mBuckets = mFacts.Digests() },
                     aExceptNode);
  }
  return {};
}

Findings
FactReplicator::ApplyFromPlatform(std::uint64_t aVersion,
                                  const std::string& aText)
{
  return ApplyFullDocument({ aVersion, aText }, "platform", "");
}

void
FactReplicator::OnDocumentDelta(const LinkInfo& aLink,
                                const DocumentDelta& aDelta)
{
  const ApplyReport report = Apply(aDelta, "neighbour");
  if (report.mResult == ApplyResult::Applied) {
    mLinks.Broadcast(aDelta, aLink.mNode);
  } else if (report.mResult == ApplyResult::FullDocumentNeeded) {
    mLinks.Send(aLink.mId, DocumentRequest{ mDocuments.Version() });
  }
}

void
FactReplicator::OnFullDocument(const LinkInfo& aLink,
                               const FullDocument& aFullDocument)
{
  ApplyFullDocument(aFullDocument, "neighbour", aLink.mNode);
}

} // namespace papayaway
