#pragma once

#include <functional>
#include <string>
#include <vector>

#include <config/Document.h>
#include <mesh/DocumentLog.h>
#include <mesh/FactStore.h>

#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

struct FactSpreaderHandlers
{
  /** A fact was added or replaced. */
  std::function<void(const Fact&)> mFactChanged;
  /** A new version of the document is in force. */
  std::function<void()> mDocumentChanged;
};

/**
 * Keeps the facts and the document equal on all nodes.
 *
 * What is new here is sent at once on all mesh links but the one it came
 * from; digests that are exchanged from time to time find what was missed.
 */
class FactSpreader
{
public:
  FactSpreader(NodeContext& aContext,
               PeerLinks& aLinks,
               FactSpreaderHandlers aHandlers);

  void Start();

  /** Merges a fact of this node and sends it if it is new. */
  void Publish(const Fact& aFact);

  /** Applies a version that the platform assigned and sends it on.
   *  @return the findings if it was refused. */
  Findings ApplyFromPlatform(std::uint64_t aVersion, const std::string& aText);

  void OnLinkOpened(const LinkInfo& aLink);
  void OnFacts(const LinkInfo& aLink, const Facts& aFacts);
  void OnDigest(const LinkInfo& aLink, const Digest& aDigest);
  void OnDocumentDelta(const LinkInfo& aLink, const DocumentDelta& aDelta);
  void OnDocumentWhole(const LinkInfo& aLink, const DocumentWhole& aWhole);
  void OnDocumentRequest(const LinkInfo& aLink,
                         const DocumentRequest& aRequest);

  [[nodiscard]] const FactStore& Store() const { return mFacts; }
  [[nodiscard]] const DocumentLog& Log() const { return mDocuments; }
  /** @return the document in force; empty before the first. */
  [[nodiscard]] const Document& Current() const { return mDocument; }
  /** @return "platform", "neighbour" or "none": where the first document
   *    came from. */
  [[nodiscard]] const std::string& RecoveredFrom() const
  {
    return mRecoveredFrom;
  }

private:
  template<typename Update>
  ApplyReport Apply(const Update& aUpdate, const std::string& aSource);
  Findings ApplyWhole(const DocumentWhole& aWhole,
                      const std::string& aSource,
                      const std::string& aExceptNode);
  void SendSince(LinkId aLink, std::uint64_t aVersion);
  void SendDigest(LinkId aLink, bool aWantReply);
  void OnDigestTimer();
  void Changed(const Fact& aFact);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreaderHandlers mHandlers;
  FactStore mFacts;
  DocumentLog mDocuments;
  Document mDocument;
  std::string mRecoveredFrom = "none";
  Timer mDigestTimer;
  Timer mExpiryTimer;
};

} // namespace papayaway
