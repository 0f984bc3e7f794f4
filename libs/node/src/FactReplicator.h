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

struct FactReplicatorHandlers
{
  /** Called when a fact was added or replaced. */
  std::function<void(const Fact&)> mFactChanged;
  /** Called when a new version of the document is in force. */
  std::function<void()> mDocumentChanged;
};

/**
 * Replicates the facts and the document to all nodes.
 *
 * Updates that are new to this node are broadcast at once to all mesh
 * neighbours except the sender. Digests exchanged periodically detect and
 * repair lost updates.
 */
class FactReplicator
{
public:
  FactReplicator(NodeContext& aContext,
                 PeerLinks& aLinks,
                 FactReplicatorHandlers aHandlers);

  void Start();

  /** Merges a fact that this node has created and broadcasts it if it is new.
   */
  void Publish(const Fact& aFact);

  /** Applies and broadcasts a document version that was read from, or committed
   *  to, the platform.
   *  @return the findings if it was refused. */
  Findings ApplyFromPlatform(std::uint64_t aVersion, const std::string& aText);

  void OnLinkOpened(const LinkInfo& aLink);
  void OnFacts(const LinkInfo& aLink, const Facts& aFacts);
  void OnDigest(const LinkInfo& aLink, const Digest& aDigest);
  void OnDocumentDelta(const LinkInfo& aLink, const DocumentDelta& aDelta);
  void OnFullDocument(const LinkInfo& aLink, const FullDocument& aFullDocument);
  void OnDocumentRequest(const LinkInfo& aLink,
                         const DocumentRequest& aRequest);

  [[nodiscard]] const FactStore& Store() const { return mFacts; }
  [[nodiscard]] const DocumentLog& Log() const { return mDocuments; }
  /** @return the document in force; empty before the first. */
  [[nodiscard]] const Document& Current() const { return mDocument; }
  /** @return the source of the first document: "platform", "neighbour", or
   *    "none" if no document is in force. */
  [[nodiscard]] const std::string& RecoveredFrom() const
  {
    return mRecoveredFrom;
  }

private:
  template<typename Update>
  ApplyReport Apply(const Update& aUpdate, const std::string& aSource);
  Findings ApplyFullDocument(const FullDocument& aFullDocument,
                             const std::string& aSource,
                             const std::string& aExceptNode);
  void SendDocumentSince(LinkId aLink, std::uint64_t aVersion);
  void SendDigest(LinkId aLink, bool aWantReply);
  void OnDigestTimer();
  void NotifyFactChanged(const Fact& aFact);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactReplicatorHandlers mHandlers;
  FactStore mFacts;
  DocumentLog mDocuments;
  Document mDocument;
  std::string mRecoveredFrom = "none";
  Timer mDigestTimer;
  Timer mExpiryTimer;
};

} // namespace papayaway
