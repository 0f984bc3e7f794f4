#pragma once

#include <memory>
#include <string>

#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <platform/PlatformClient.h>

#include "FactSpreader.h"
#include "MemberAgent.h"
#include "NodeContext.h"
#include "PeerLinks.h"

namespace papayaway {

/** All dealings with the platform's table but for leases: the directory of
 *  nodes, promotions and the watch for new versions. */
class PlatformAgent
{
public:
  PlatformAgent(NodeContext& aContext,
                PeerLinks& aLinks,
                FactSpreader& aSpreader,
                MemberAgent& aMembers);

  void Start(const std::string& aAdminAddress);
  void Stop();

  void OnPromote(const std::shared_ptr<HttpExchange>& aExchange);
  void OnDocumentRequest(const std::shared_ptr<HttpExchange>& aExchange);

  [[nodiscard]] PlatformClient& Client() { return mClient; }

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
  [[nodiscard]] bool IsFirstInRank() const;

  NodeContext& mContext;
  PeerLinks& mLinks;
  FactSpreader& mSpreader;
  MemberAgent& mMembers;
  HttpClient mHttp;
  PlatformClient mClient;
  std::string mAdminAddress;
  bool mRegistered = false;
  bool mAnswers = true;
  bool mIsRelay = false;
  bool mStopped = false;
  Timer mPollTimer;
  Timer mDirectoryTimer;
};

} // namespace papayaway
