// Sidecar: targets that have left, which bind later processes of the node too.

#include <algorithm>
#include <utility>

#include "SidecarImpl.h"

namespace papayaway::sidecar {

using gateway::NodeRecord;

namespace {

/** How long a check-in waits until this node knows which targets have left. The
 *  target waits 1 s for the response. */
constexpr Millis kMaxCheckInHold{ 800 };
constexpr std::size_t kMaxHeldCheckIns = 16;

} // namespace

void
Sidecar::Impl::RespondWhenKept(const std::shared_ptr<HttpExchange>& aExchange,
                               const std::string& aTargetId)
{
  mLeaves.Wait(mLeftSequence,
               mMesh.LinkCount(),
               SteadyNow(),
               [this, aExchange, aTargetId, since = SteadyNow()](bool aKept) {
                 mLog.WriteStateChange(
                   "target",
                   aKept ? "leave_acknowledged" : "leave_refused",
                   { { "target", aTargetId },
                     { "sequence", mLeftSequence },
                     { "after_ms", (SteadyNow() - since).WholeMillis() } });
                 aExchange->Respond(aKept ? JsonResponse(200, "{}")
                                          : HttpResponse{ .mStatus = 503 });
               });
}

void
Sidecar::Impl::OnCheckIn(const std::shared_ptr<HttpExchange>& aExchange,
                         const std::string& aTargetId)
{
  const Expected<CheckIn> checkIn =
    mProtocol.DecodeCheckIn(aTargetId, aExchange->Request().mBody);
  if (!checkIn) {
    mMetrics.mBadInput.Increment();
    mMetrics.OnCheckIn("unreadable");
    if (mLog.ShouldWrite("bad_check_in", EventLog::Category::Failure)) {
      mLog.Write(
        "target",
        "bad_check_in",
        { { "target", aTargetId }, { "reason", checkIn.error().mMessage } });
    }
    aExchange->Respond({ .mStatus = 400 });
    return;
  }
  if (!mKnowsLeftTargets &&
      checkIn->mTarget.mState == gateway::TargetState::Ready) {
    // An earlier process may have acknowledged that this target leaves.
    mHeldCheckIns.push_back(
      { .mExchange = aExchange, .mCheckIn = *checkIn, .mSince = SteadyNow() });
    RefuseHeldCheckIns(SteadyNow());
    return;
  }
  ApplyCheckIn(aExchange, *checkIn);
}

void
Sidecar::Impl::ApplyCheckIn(const std::shared_ptr<HttpExchange>& aExchange,
                            const CheckIn& aCheckIn)
{
  const bool accepted = mLocalTarget.OnCheckIn(aCheckIn);
  mMetrics.OnCheckIn(accepted ? "accepted" : "not_of_this_target");
  if (accepted && aCheckIn.mTarget.mState == gateway::TargetState::Draining) {
    RespondWhenKept(aExchange, aCheckIn.mTarget.mId);
    return;
  }
  aExchange->Respond(JsonResponse(accepted ? 200 : 400, "{}"));
}

void
Sidecar::Impl::RefuseHeldCheckIns(Millis aNow)
{
  while (!mHeldCheckIns.empty() &&
         (mHeldCheckIns.size() > kMaxHeldCheckIns ||
          aNow - mHeldCheckIns.front().mSince >= kMaxCheckInHold)) {
    mMetrics.OnCheckIn("left_targets_unknown");
    mHeldCheckIns.front().mExchange->Respond({ .mStatus = 503 });
    mHeldCheckIns.pop_front();
  }
}

void
Sidecar::Impl::OnLeftTargetsKnown()
{
  if (std::exchange(mKnowsLeftTargets, true)) {
    return;
  }
  for (const HeldCheckIn& held : std::exchange(mHeldCheckIns, {})) {
    ApplyCheckIn(held.mExchange, held.mCheckIn);
  }
  // Nodes that started meanwhile may have no answer from any node yet.
  for (const auto& [name, dataCentre] : mTargets.Nodes().DataCentres()) {
    for (const auto& [node, record] : dataCentre.mNodes) {
      if (!record->mTarget && record->mNode != mSettings.mName &&
          mMesh.Reachable(record->mNode, SteadyNow())) {
        mMesh.Send(record->mNode, LeftTargetsMessage{ record->mLeft });
      }
    }
  }
}

void
Sidecar::Impl::OnLeftTargets(const LeftTargetsMessage& aMessage)
{
  mLocalTarget.OnLeftTargets(aMessage.mLeft);
  OnLeftTargetsKnown();
}

void
Sidecar::Impl::AnswerRecord(LinkId aLink, const NodeRecord& aRecord)
{
  const NodeRecord* const known = mTargets.Nodes().Find(aRecord.mNode);
  if (known == nullptr) {
    return;
  }
  if (!aRecord.mLeft.empty() && !aRecord.Supersedes(*known)) {
    mMesh.Reply(aLink,
                RecordCopiedMessage{ .mIncarnation = known->mIncarnation,
                                     .mSequence = known->mSequence });
  }
  if (mKnowsLeftTargets &&
      (!aRecord.mTarget || known->mLeft != aRecord.mLeft)) {
    mMesh.Reply(aLink, LeftTargetsMessage{ known->mLeft });
  }
}

} // namespace papayaway::sidecar
