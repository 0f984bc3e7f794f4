// The operations of the node's admin API.

#include "NodeImpl.h"

namespace papayaway {

nlohmann::json
Node::Impl::Status() const
{
  const NodeSettings& settings = mContext.mSettings;
  return { { "node", settings.mName },
           { "data_centre", settings.mDataCentre },
           { "region", settings.mRegion },
           { "environment", settings.mEnvironment },
           { "incarnation", mContext.mIncarnation },
           { "document",
             { { "version", mReplicator.Log().Version() },
               { "hash", mReplicator.Log().Hash() } } },
           { "members", MembersReport(mReplicator.Store()) },
           { "links", mLinks.Count() },
           { "mesh_links", mLinks.MeshLinks().size() },
           { "relay", RelaysReport(mReplicator.Store()) },
           { "recovered_from", mReplicator.RecoveredFrom() },
           { "in_flight", mEntry.InFlight() },
           { "leaving", mStopping } };
}

void
Node::Impl::AddAdminOperations()
{
  using Access = AdminApi::Access;
  using Exchange = AdminApi::Exchange;
  mAdmin.Add(
    "POST", "/v1/target", Access::Open, [this](const Exchange& aExchange) {
      const auto announcement = ParseAnnouncement(aExchange->Request().mBody);
      if (!announcement) {
        aExchange->Respond(AdminError(400, announcement.error().mMessage));
        return;
      }
      if (!mStopping) {
        mTarget.OnAnnouncement(*announcement);
      }
      aExchange->Respond(JsonResponse(200, "{}"));
    });
  const auto addReport = [this](const std::string& aPath, auto aReport) {
    mAdmin.Add(
      "GET", aPath, Access::Operator, [aReport](const Exchange& aExchange) {
        aExchange->Respond(JsonResponse(200, aReport().dump()));
      });
  };
  addReport("/v1/status", [this] { return Status(); });
  addReport("/v1/endpoints",
            [this] { return EndpointsReport(mReplicator.Store()); });
  addReport("/v1/moves", [this] { return mMoves.Report(); });
  addReport("/v1/timeline", [this] {
    return TimelineReport(mContext.mSettings.mName, mContext.mEvents);
  });
  mAdmin.Add(
    "GET", "/v1/document", Access::Operator, [this](const Exchange& aExchange) {
      mPlatform.OnDocumentRequest(aExchange);
    });
  mAdmin.Add(
    "POST", "/v1/promote", Access::Operator, [this](const Exchange& aExchange) {
      mPlatform.OnPromote(aExchange);
    });
  mAdmin.Add(
    "POST", "/v1/drain", Access::Operator, [this](const Exchange& aExchange) {
      mContext.Record({ .mPart = "target",
                        .mKind = EventKind::Drain,
                        .mText = "an operator drains the target" });
      mTarget.Drain();
      aExchange->Respond(JsonResponse(200, "{}"));
    });
  mAdmin.Add(
    "POST", "/v1/release", Access::Operator, [this](const Exchange& aExchange) {
      mQuarantine.OnRelease(aExchange);
    });
  mAdmin.Add(
    "GET", "/v1/export", Access::Operator, [this](const Exchange& aExchange) {
      mExporter.OnRequest(aExchange);
    });
  mAdmin.Add(
    "GET", "/metrics", Access::Open, [this](const Exchange& aExchange) {
      aExchange->Respond({ .mStatus = 200,
                           .mHeaders = { { "Content-Type", "text/plain" } },
                           .mBody = mContext.mMetrics.Text() });
    });
}

} // namespace papayaway
