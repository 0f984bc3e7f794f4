#include "PlatformAgent.h"

#include <glog/logging.h>

#include <config/DocumentParser.h>

#include "AdminApi.h"

namespace papayaway {

namespace {

constexpr Millis kPollPeriod{ 500 };
/** A standby polls once in this many periods, which is every 2 s. Standbys poll
 *  because a dead relay is replaced only after up to 6 s, but a document has to
 *  be in force within 4 s. */
constexpr int kPeriodsPerStandbyPoll = 4;
constexpr Millis kDirectoryPeriod = Seconds(1);
/** The time over which nodes that start together spread their registrations.
 *  900 nodes then make 225 writes per second, which is below the platform's
 *  limit. */
constexpr Millis kRegistrationSpread = Seconds(4);

std::string
DocumentKey(const std::string& aEnvironment)
{
  return "documents/" + aEnvironment;
}

std::string
DirectoryKey(const NodeSettings& aSettings)
{
  return "nodes/" + aSettings.mDataCentre + "/" + aSettings.mName;
}

nlohmann::json
ToJson(const Findings& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : aFindings) {
    list.push_back({ { "line", finding.mLine },
                     { "path", finding.mPath },
                     { "message", finding.mMessage } });
  }
  return list;
}

std::uint64_t
UnsignedField(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : 0;
}

std::string
TextField(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

} // namespace

PlatformAgent::PlatformAgent(NodeContext& aContext,
                             PeerLinks& aLinks,
                             FactReplicator& aReplicator,
                             MemberAgent& aMembers)
  : mContext(aContext)
  , mLinks(aLinks)
  , mReplicator(aReplicator)
  , mMembers(aMembers)
  , mHttpClient(aContext.mLoop, { .mMaxConnectionsPerServer = 4 })
  , mPlatformClient(aContext.mLoop,
                    mHttpClient,
                    { .mAddress = aContext.mSettings.mPlatformAddress },
                    Random(aContext.mRandom()))
  , mRelay(aContext, aLinks, aReplicator, aMembers, mPlatformClient)
  , mPollTimer(aContext.mLoop, [this] { Poll(); })
  , mDirectoryTimer(aContext.mLoop, [this] { ScanDirectory(); })
{
}

void
PlatformAgent::Start(const std::string& aAdminAddress)
{
  mAdminAddress = aAdminAddress;
  mRegisterAt =
    SteadyNow() + kRegistrationSpread * UniformFraction(mContext.mRandom);
  ScanDirectory();
  Poll();
  mRelay.Start();
}

void
PlatformAgent::Stop()
{
  mStopped = true;
  mRelay.Stop();
  mPollTimer.Stop();
  mDirectoryTimer.Stop();
  mPlatformClient.Commit({ .mOperation = RandomId(mContext.mRandom),
                           .mDeletes = { DirectoryKey(mContext.mSettings) } },
                         [](const Expected<CommitResult>&) {});
}

void
PlatformAgent::OnPlatformAnswer(bool aAnswered)
{
  if (aAnswered == mPlatformAnswers) {
    return;
  }
  mPlatformAnswers = aAnswered;
  mContext.Record(
    { .mPart = "platform",
      .mKind = aAnswered ? EventKind::PlatformBack : EventKind::PlatformLost,
      .mText = aAnswered ? "the platform answers again"
                         : "the platform does not answer" });
}

void
PlatformAgent::Register()
{
  mPlatformClient.Commit(
    { .mOperation = RandomId(mContext.mRandom),
      .mWrites = { { DirectoryKey(mContext.mSettings),
                     { { "peer", mLinks.Address() },
                       { "admin", mAdminAddress },
                       { "region", mContext.mSettings.mRegion },
                       { "incarnation", mContext.mIncarnation } } } } },
    [this](const Expected<CommitResult>& aAnswer) {
      mRegistered = aAnswer.has_value();
    });
}

void
PlatformAgent::ScanDirectory()
{
  mDirectoryTimer.StartOnce(mContext.Jittered(kDirectoryPeriod));
  if (!mRegistered && SteadyNow() >= mRegisterAt) {
    Register();
  }
  if (!mLinks.MeshLinks().empty()) {
    return;
  }
  mPlatformClient.ScanRows(
    "nodes/" + mContext.mSettings.mDataCentre + "/",
    [this](const Expected<std::vector<TableRow>>& aRows) {
      OnPlatformAnswer(aRows.has_value());
      if (!aRows || mStopped) {
        return;
      }
      std::vector<std::string> addresses;
      for (const TableRow& row : *aRows) {
        const std::string address = TextField(row.mValue, "peer");
        if (!address.empty() && address != mLinks.Address()) {
          addresses.push_back(address);
        }
      }
      mMembers.SetCandidates(addresses);
    });
}

void
PlatformAgent::Poll()
{
  mPollTimer.StartOnce(mContext.Jittered(kPollPeriod));
  ++mPollPeriods;
  const bool standbyPollDue = mPollPeriods % kPeriodsPerStandbyPoll == 0;
  if (!mRelay.IsRelay() && mReplicator.Log().Version() != 0 &&
      !(standbyPollDue && mRelay.IsStandby())) {
    return;
  }
  mPlatformClient.ReadRow(
    DocumentKey(mContext.mSettings.mEnvironment),
    [this](const Expected<TableRow>& aRow) {
      OnPlatformAnswer(aRow.has_value() ||
                       aRow.error().mCode == ErrorCode::NotFound);
      if (aRow && aRow->mValue.contains("document")) {
        mReplicator.ApplyFromPlatform(aRow->mVersion,
                                      aRow->mValue["document"].dump());
      }
    });
}

void
PlatformAgent::OnPromote(const std::shared_ptr<HttpExchange>& aExchange)
{
  const auto body =
    nlohmann::json::parse(aExchange->Request().mBody, nullptr, false);
  if (!body.is_object() || !body.contains("document")) {
    aExchange->Respond(AdminError(400, "the body has no document"));
    return;
  }
  const auto document = ParseDocument(body["document"]);
  if (!document) {
    aExchange->Respond(JsonResponse(
      422, nlohmann::json{ { "findings", ToJson(document.error()) } }.dump()));
    return;
  }
  std::string operation = TextField(body, "operation");
  if (operation.empty()) {
    operation = RandomId(mContext.mRandom);
  }
  std::string environment = TextField(body, "environment");
  if (environment.empty()) {
    environment = mContext.mSettings.mEnvironment;
  }
  Commit(environment,
         UnsignedField(body, "parent"),
         body["document"],
         operation,
         aExchange);
}

void
PlatformAgent::Commit(const std::string& aEnvironment,
                      std::uint64_t aParent,
                      const nlohmann::json& aDocument,
                      const std::string& aOperation,
                      const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string key = DocumentKey(aEnvironment);
  const auto onCommitted = [this, key, aEnvironment, aDocument, aExchange](
                             const Committed& aCommitted) {
    const std::uint64_t version = aCommitted.mVersions.at(key);
    mContext.Record({ .mPart = "platform",
                      .mKind = EventKind::Promotion,
                      .mVersion = std::to_string(version),
                      .mText = "document version " + std::to_string(version) +
                               " was promoted to " + aEnvironment });
    if (aEnvironment == mContext.mSettings.mEnvironment) {
      mReplicator.ApplyFromPlatform(version, aDocument.dump());
    }
    aExchange->Respond(
      JsonResponse(200, nlohmann::json{ { "version", version } }.dump()));
  };
  const auto onConflict = [this, key, aExchange] {
    mPlatformClient.ReadRow(key, [aExchange](const Expected<TableRow>& aRow) {
      nlohmann::json conflict{ { "error", "another promotion was first" } };
      if (aRow) {
        conflict["version"] = aRow->mVersion;
        conflict["document"] = aRow->mValue["document"];
      }
      aExchange->Respond(JsonResponse(409, conflict.dump()));
    });
  };
  mPlatformClient.Commit(
    { .mOperation = aOperation,
      .mConditions = { { key, aParent } },
      .mWrites = { { key, { { "document", aDocument } } } } },
    [=](const Expected<CommitResult>& aAnswer) {
      if (!aAnswer) {
        const bool unknown = aAnswer.error().mCode == ErrorCode::OutcomeUnknown;
        aExchange->Respond(JsonResponse(
          503,
          nlohmann::json{ { "outcome", unknown ? "unknown" : "not-run" },
                          { "error", aAnswer.error().mMessage } }
            .dump()));
      } else if (const auto* const committed =
                   std::get_if<Committed>(&*aAnswer)) {
        onCommitted(*committed);
      } else {
        onConflict();
      }
    });
}

void
PlatformAgent::OnDocumentRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  std::string environment = aExchange->Request().QueryValue("environment");
  if (environment.empty() || environment == mContext.mSettings.mEnvironment) {
    const DocumentLog& log = mReplicator.Log();
    nlohmann::json responseBody{ { "version", log.Version() } };
    if (log.Version() != 0) {
      responseBody["document"] = nlohmann::json::parse(log.Text());
    }
    aExchange->Respond(JsonResponse(200, responseBody.dump()));
    return;
  }
  mPlatformClient.ReadRow(
    DocumentKey(environment), [aExchange](const Expected<TableRow>& aRow) {
      if (!aRow) {
        const bool missing = aRow.error().mCode == ErrorCode::NotFound;
        aExchange->Respond(
          AdminError(missing ? 404 : 503, aRow.error().mMessage));
        return;
      }
      aExchange->Respond(
        JsonResponse(200,
                     nlohmann::json{ { "version", aRow->mVersion },
                                     { "document", aRow->mValue["document"] } }
                       .dump()));
    });
}

} // namespace papayaway
