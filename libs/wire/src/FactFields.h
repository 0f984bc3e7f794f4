#pragma once

#include <concepts>
#include <type_traits>

#include <wire/Bounds.h>
#include <wire/Facts.h>

namespace papayaway {

/** A T or const T, so that one list of fields serves reader and writer. */
template<typename T, typename Expected>
concept Like = std::same_as<std::remove_const_t<T>, Expected>;

// Each Describe() names the fields of one type for FieldWriter and
// FieldReader. A key stays with its meaning; new fields take new keys. The
// key "k" holds the kind of a fact.

constexpr int kMaxSlots = 1 << 20;
constexpr int kMaxAttempts = 1 << 30;

void
Describe(auto& aFields, Like<MemberFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("r", aFact.mRegion, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Text("a", aFact.mAdminAddress, kMaxName);
  aFields.Number("i", aFact.mIncarnation);
  aFields.Choice("s", aFact.mState, MemberState::Dead);
}

void
Describe(auto& aFields, Like<EndpointFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("r", aFact.mRegion, kMaxName);
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Text("w", aFact.mVersion, kMaxName);
  aFields.Choice("s", aFact.mState, EndpointState::Gone);
  aFields.Integer("l", aFact.mSlots, 0, kMaxSlots);
  aFields.Number("i", aFact.mIncarnation);
  aFields.Number("q", aFact.mSequence);
}

void
Describe(auto& aFields, Like<RelayFact> auto& aFact)
{
  aFields.Text("d", aFact.mDataCentre, kMaxName);
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Number("t", aFact.mToken);
}

void
Describe(auto& aFields, Like<MoveFact> auto& aFact)
{
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Text("w", aFact.mTo, kMaxName);
  aFields.Integer("a", aFact.mAttempt, 0, kMaxAttempts);
  aFields.Choice("s", aFact.mState, MoveState::TakenBack);
  aFields.Number("g", aFact.mStage);
  aFields.Integer("h", aFact.mShare, 0, 1000);
  aFields.Time("b", aFact.mStarted);
  aFields.Number("t", aFact.mToken);
  aFields.Text("x", aFact.mReason, kMaxLine);
}

void
Describe(auto& aFields, Like<QuarantineFact> auto& aFact)
{
  aFields.Text("f", aFact.mFingerprint, kMaxName);
  aFields.Text("v", aFact.mService, kMaxName);
  aFields.Flag("l", aFact.mReleased);
  aFields.Number("q", aFact.mSequence);
  aFields.Time("e", aFact.mExpires);
}

void
Describe(auto& aFields, Like<ConductorFact> auto& aFact)
{
  aFields.Text("n", aFact.mNode, kMaxName);
  aFields.Text("p", aFact.mPeerAddress, kMaxName);
  aFields.Number("t", aFact.mToken);
}

} // namespace papayaway
