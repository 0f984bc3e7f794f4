#pragma once

#include <concepts>
#include <type_traits>

#include <wire/Bounds.h>
#include <wire/Facts.h>

namespace papayaway {

/** Expected or const Expected, so that one Describe() serves the reader, which
 *  changes the object, and the writer, which does not. */
template<typename T, typename Expected>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Expected>;

// Each Describe() lists the fields of one type for both FieldWriter and
// FieldReader. A key must never be reused with another meaning; new fields get
// new keys. The key "k" holds the type number of a fact.

constexpr int kMaxSlots = 1 << 20;
constexpr int kMaxAttempts = 1 << 30;

void
Describe(auto& aFields, MaybeConst<MemberFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("r", aFact.mRegion, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Text("a", aFact.mAdminAddress, kMaxName);
  aFields.Unsigned("i", aFact.mIncarnation);
  aFields.EnumValue("s", aFact.mState, MemberState::Dead);
}

void
Describe(auto& aFields, MaybeConst<EndpointFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("r", aFact.mRegion, kMaxName);
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Text("w", aFact.mVersion, kMaxName);
  aFields.EnumValue("s", aFact.mState, EndpointState::Gone);
  aFields.Integer("l", aFact.mSlots, 0, kMaxSlots);
  aFields.Unsigned("i", aFact.mIncarnation);
  aFields.Unsigned("q", aFact.mSequence);
}

void
Describe(auto& aFields, MaybeConst<RelayFact> auto& aFact)
{
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Unsigned("t", aFact.mToken);
}

void
Describe(auto& aFields, MaybeConst<MoveFact> auto& aFact)
{
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Text("w", aFact.mTo, kMaxName);
  aFields.Integer("a", aFact.mAttempt, 0, kMaxAttempts);
  aFields.EnumValue("s", aFact.mState, MoveState::TakenBack);
  aFields.Unsigned("g", aFact.mStage);
  aFields.Integer("h", aFact.mShare, 0, 1000);
  aFields.Time("b", aFact.mStarted);
  aFields.Unsigned("t", aFact.mToken);
  aFields.Text("x", aFact.mReason, kMaxText);
}

void
Describe(auto& aFields, MaybeConst<QuarantineFact> auto& aFact)
{
  aFields.Text("f", aFact.mFingerprint, kMaxName);
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Flag("l", aFact.mReleased);
  aFields.Unsigned("q", aFact.mSequence);
  aFields.Time("e", aFact.mExpires);
}

void
Describe(auto& aFields, MaybeConst<ConductorFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Unsigned("t", aFact.mToken);
}

} // namespace papayaway
