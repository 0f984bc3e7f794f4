#pragma once

#include <memory>
#include <string>

#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <platform/PlatformClient.h>

#include "FactReplicator.h"
#include "MemberAgent.h"
#include "NodeContext.h"
#include "PeerLinks.h"
#include "RelayAgent.h"

namespace papayaway {

/** Accesses the platform: registers this node in the node directory, commits
 *  promotions, polls for new document versions and owns the RelayAgent. */
class PlatformAgent
{
public:
  PlatformAgent(NodeContext& aContext,
                PeerLinks& aLinks,
                FactReplicator& aReplicator,
                MemberAgent& aMembers);

  void Start(const std::string& aAdminAddress);
  void Stop();

  void OnPromote(const std::shared_ptr<HttpExchange>& aExchange);
  void OnDocumentRequest(const std::shared_ptr<HttpExchange>& aExchange);

  [[nodiscard]] PlatformClient& Client() { return mPlatformClient; }
  [[nodiscard]] bool IsRelay() const { return mRelay.IsRelay(); }

private:
  void Register();
  void ScanDirectory();
  void Poll();
  void OnPlatformAnswer(bool aAnswered);
  void Commit(const std::string& aEnvironment,
              std::uint64_t aParent,
              const nlohmann::json& aDocument,
              const std::string& aOperation,
              const std::shared_ptr<HttpExchange>& aExchange);

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactReplicator& mReplicator;
  MemberAgent& mMembers;
  HttpClient mHttpClient;
  PlatformClient mPlatformClient;
  RelayAgent mRelay;
  std::string mAdminAddress;
  bool mRegistered = false;
  Millis mRegisterAt;
  bool mPlatformAnswers = true;
  bool mStopped = false;
  int mPollPeriods = 0;
  Timer mPollTimer;
  Timer mDirectoryTimer;
};

} // namespace papayaway
