#pragma once

#include <wire/Bounds.h>
#include <wire/Messages.h>

#include "Alternatives.h"
#include "FactFields.h"

namespace papayaway {

// Fields that are copied from customers' requests are byte strings, because
// HTTP does not guarantee UTF-8.

constexpr int kMaxStatus = 999;
constexpr int kMaxLoad = 1 << 30;

void
Describe(auto& aFields, MaybeConst<Hello> auto& aMessage)
{
  aFields.Text("n", aMessage.mNode, kMaxName);
  aFields.Text("d", aMessage.mDataCentre, kMaxName);
  aFields.Text("r", aMessage.mRegion, kMaxName);
  aFields.Text("p", aMessage.mPeerAddress, kMaxName);
  aFields.Unsigned("i", aMessage.mIncarnation);
  aFields.Flag("c", aMessage.mCallsOnly);
}

void
Describe(auto& aFields, MaybeConst<Heartbeat> auto& aMessage)
{
  aFields.Unsigned("c", aMessage.mCount);
}

inline void
DescribeFact(FieldWriter& aFields, const Fact& aFact)
{
  WriteVariant(aFields, "k", aFact);
}

inline void
DescribeFact(FieldReader& aFields, Fact& aFact)
{
  ReadVariant(aFields, "k", aFact);
}

void
Describe(auto& aFields, MaybeConst<Facts> auto& aMessage)
{
  aFields.List("f",
               aMessage.mFacts,
               kMaxFactsInMessage,
               [](auto& aItem, auto& aFact) { DescribeFact(aItem, aFact); });
}

void
Describe(auto& aFields, MaybeConst<DocumentDelta> auto& aMessage)
{
  aFields.Unsigned("b", aMessage.mBaseVersion);
  aFields.Unsigned("v", aMessage.mVersion);
  aFields.Unsigned("h", aMessage.mHash, UINT64_MAX);
  aFields.Text("p", aMessage.mPatch, kMaxMessage);
}

void
Describe(auto& aFields, MaybeConst<FullDocument> auto& aMessage)
{
  aFields.Unsigned("v", aMessage.mVersion);
  aFields.Text("x", aMessage.mText, kMaxMessage);
}

void
Describe(auto& aFields, MaybeConst<DocumentRequest> auto& aMessage)
{
  aFields.Unsigned("v", aMessage.mHaveVersion);
}

void
Describe(auto& aFields, MaybeConst<Digest> auto& aMessage)
{
  aFields.Unsigned("v", aMessage.mDocumentVersion);
  aFields.UnsignedArray("b", aMessage.mBuckets);
  aFields.Flag("w", aMessage.mWantReply);
}

void
Describe(auto& aFields, MaybeConst<Call> auto& aMessage)
{
  aFields.Unsigned("i", aMessage.mId);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("w", aMessage.mVersion, kMaxName);
  aFields.Text("r", aMessage.mRoute, kMaxText);
  aFields.Flag("e", aMessage.mIdempotent);
  aFields.Bytes("m", aMessage.mMethod, kMaxName);
  aFields.Bytes("p", aMessage.mPath, kMaxText);
  aFields.Bytes("q", aMessage.mQuery, kMaxText);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
  aFields.Bytes("k", aMessage.mKey, kMaxText);
  aFields.Time("l", aMessage.mTimeLeft);
  aFields.Integer("a", aMessage.mAttempt, 0, kMaxAttempts);
}

void
Describe(auto& aFields, MaybeConst<Reply> auto& aMessage)
{
  aFields.Unsigned("i", aMessage.mId);
  aFields.Integer("s", aMessage.mStatus, 0, kMaxStatus);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
  aFields.EnumValue("o", aMessage.mOutcome, Outcome::Unknown);
  aFields.Integer("l", aMessage.mLoad, 0, kMaxLoad);
}

void
Describe(auto& aFields, MaybeConst<Cancel> auto& aMessage)
{
  aFields.Unsigned("i", aMessage.mId);
}

void
Describe(auto& aFields, MaybeConst<Intent> auto& aMessage)
{
  aFields.Unsigned("i", aMessage.mId);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Bytes("k", aMessage.mKey, kMaxText);
}

void
Describe(auto& aFields, MaybeConst<IntentAck> auto& aMessage)
{
  aFields.Unsigned("i", aMessage.mId);
}

void
Describe(auto& aFields, MaybeConst<KeyOutcome> auto& aMessage)
{
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Bytes("k", aMessage.mKey, kMaxText);
  aFields.Integer("s", aMessage.mStatus, 0, kMaxStatus);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
}

void
Describe(auto& aFields, MaybeConst<Evidence> auto& aMessage)
{
  aFields.Text("n", aMessage.mNode, kMaxName);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("w", aMessage.mVersion, kMaxName);
  aFields.Text("r", aMessage.mRoute, kMaxText);
  aFields.Unsigned("c", aMessage.mCalls);
  aFields.Unsigned("f", aMessage.mFailures);
  aFields.Real("s", aMessage.mLatencySum);
  aFields.Real("q", aMessage.mLatencySquareSum);
}

void
Describe(auto& aFields, MaybeConst<RecordCopy> auto& aMessage)
{
  aFields.Text("o", aMessage.mOrigin, kMaxName);
  aFields.Unsigned("i", aMessage.mIncarnation);
  aFields.Unsigned("f", aMessage.mFirst);
  aFields.Unsigned("l", aMessage.mLast);
  aFields.Bytes("c", aMessage.mCustomer, kMaxHeaderValue);
  aFields.Bytes("x", aMessage.mLines, kMaxMessage);
  aFields.Flag("s", aMessage.mStored);
}

void
Describe(auto& aFields, MaybeConst<ErrorMessage> auto& aMessage)
{
  aFields.Bytes("x", aMessage.mText, kMaxText);
}

void
Describe(auto& aFields, MaybeConst<CrashReport> auto& aMessage)
{
  aFields.Text("i", aMessage.mId, kMaxName);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.List("f",
               aMessage.mFingerprints,
               kMaxCrashSuspects,
               [](auto& aItem, auto& aFingerprint) {
                 aItem.Text("f", aFingerprint, kMaxName);
               });
}

void
Describe(auto& aFields, MaybeConst<SuspectCompleted> auto& aMessage)
{
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("f", aMessage.mFingerprint, kMaxName);
}

} // namespace papayaway
