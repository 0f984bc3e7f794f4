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
#include "RelayAgent.h"

namespace papayaway {

/** The dealings with the platform: the directory of nodes, promotions, the
 *  watch for new versions and the relay's lease. */
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
  FactSpreader& mSpreader;
  MemberAgent& mMembers;
  HttpClient mHttp;
  PlatformClient mClient;
  RelayAgent mRelay;
  std::string mAdminAddress;
  bool mRegistered = false;
  Millis mRegisterAt;
  bool mAnswers = true;
  bool mStopped = false;
  int mPeriods = 0;
  Timer mPollTimer;
  Timer mDirectoryTimer;
};

} // namespace papayaway
