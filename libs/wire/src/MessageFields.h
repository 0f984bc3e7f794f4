#pragma once

#include <wire/Bounds.h>
#include <wire/Messages.h>

#include "Alternatives.h"
#include "FactFields.h"

namespace papayaway {

// Fields that come from customers' requests are byte strings, because HTTP
// does not promise UTF-8.

constexpr int kMaxStatus = 999;
constexpr int kMaxLoad = 1 << 30;

void
Describe(auto& aFields, Like<Hello> auto& aMessage)
{
  aFields.Text("n", aMessage.mNode, kMaxName);
  aFields.Text("d", aMessage.mDataCentre, kMaxName);
  aFields.Text("r", aMessage.mRegion, kMaxName);
  aFields.Text("p", aMessage.mPeerAddress, kMaxName);
  aFields.Number("i", aMessage.mIncarnation);
  aFields.Flag("c", aMessage.mCallsOnly);
}

void
Describe(auto& aFields, Like<Heartbeat> auto& aMessage)
{
  aFields.Number("c", aMessage.mCount);
}

inline void
DescribeItem(FieldWriter& aFields, const Fact& aFact)
{
  WriteVariant(aFields, "k", aFact);
}

inline void
DescribeItem(FieldReader& aFields, Fact& aFact)
{
  ReadVariant(aFields, "k", aFact);
}

void
Describe(auto& aFields, Like<Facts> auto& aMessage)
{
  aFields.List("f",
               aMessage.mFacts,
               kMaxFactsInMessage,
               [](auto& aItem, auto& aFact) { DescribeItem(aItem, aFact); });
}

void
Describe(auto& aFields, Like<DocumentDelta> auto& aMessage)
{
  aFields.Number("b", aMessage.mBaseVersion);
  aFields.Number("v", aMessage.mVersion);
  aFields.Number("h", aMessage.mHash, UINT64_MAX);
  aFields.Text("p", aMessage.mPatch, kMaxMessage);
}

void
Describe(auto& aFields, Like<DocumentWhole> auto& aMessage)
{
  aFields.Number("v", aMessage.mVersion);
  aFields.Text("x", aMessage.mText, kMaxMessage);
}

void
Describe(auto& aFields, Like<DocumentRequest> auto& aMessage)
{
  aFields.Number("v", aMessage.mHaveVersion);
}

void
Describe(auto& aFields, Like<Digest> auto& aMessage)
{
  aFields.Number("v", aMessage.mDocumentVersion);
  aFields.Numbers("b", aMessage.mBuckets);
  aFields.Flag("w", aMessage.mWantReply);
}

void
Describe(auto& aFields, Like<Call> auto& aMessage)
{
  aFields.Number("i", aMessage.mId);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("w", aMessage.mVersion, kMaxName);
  aFields.Text("r", aMessage.mRoute, kMaxLine);
  aFields.Flag("e", aMessage.mIdempotent);
  aFields.Bytes("m", aMessage.mMethod, kMaxName);
  aFields.Bytes("p", aMessage.mPath, kMaxLine);
  aFields.Bytes("q", aMessage.mQuery, kMaxLine);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
  aFields.Bytes("k", aMessage.mKey, kMaxLine);
  aFields.Time("l", aMessage.mTimeLeft);
  aFields.Integer("a", aMessage.mAttempt, 0, kMaxAttempts);
}

void
Describe(auto& aFields, Like<Reply> auto& aMessage)
{
  aFields.Number("i", aMessage.mId);
  aFields.Integer("s", aMessage.mStatus, 0, kMaxStatus);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
  aFields.Choice("o", aMessage.mOutcome, Outcome::Unknown);
  aFields.Integer("l", aMessage.mLoad, 0, kMaxLoad);
}

void
Describe(auto& aFields, Like<Cancel> auto& aMessage)
{
  aFields.Number("i", aMessage.mId);
}

void
Describe(auto& aFields, Like<Intent> auto& aMessage)
{
  aFields.Number("i", aMessage.mId);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Bytes("k", aMessage.mKey, kMaxLine);
}

void
Describe(auto& aFields, Like<IntentAck> auto& aMessage)
{
  aFields.Number("i", aMessage.mId);
}

void
Describe(auto& aFields, Like<KeyOutcome> auto& aMessage)
{
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Bytes("k", aMessage.mKey, kMaxLine);
  aFields.Integer("s", aMessage.mStatus, 0, kMaxStatus);
  aFields.Headers("h", aMessage.mHeaders);
  aFields.Bytes("b", aMessage.mBody, kMaxMessage);
}

void
Describe(auto& aFields, Like<Evidence> auto& aMessage)
{
  aFields.Text("n", aMessage.mNode, kMaxName);
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("w", aMessage.mVersion, kMaxName);
  aFields.Text("r", aMessage.mRoute, kMaxLine);
  aFields.Number("c", aMessage.mCalls);
  aFields.Number("f", aMessage.mFailures);
  aFields.Real("s", aMessage.mLatencySum);
  aFields.Real("q", aMessage.mLatencySquareSum);
}

void
Describe(auto& aFields, Like<RecordCopy> auto& aMessage)
{
  aFields.Text("o", aMessage.mOrigin, kMaxName);
  aFields.Number("i", aMessage.mIncarnation);
  aFields.Number("f", aMessage.mFirst);
  aFields.Number("l", aMessage.mLast);
  aFields.Bytes("c", aMessage.mCustomer, kMaxHeaderValue);
  aFields.Bytes("x", aMessage.mLines, kMaxMessage);
  aFields.Flag("s", aMessage.mStored);
}

void
Describe(auto& aFields, Like<ErrorMessage> auto& aMessage)
{
  aFields.Bytes("x", aMessage.mText, kMaxLine);
}

void
Describe(auto& aFields, Like<CrashReport> auto& aMessage)
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
Describe(auto& aFields, Like<SuspectRan> auto& aMessage)
{
  aFields.Text("v", aMessage.mService, kMaxName);
  aFields.Text("f", aMessage.mFingerprint, kMaxName);
}

} // namespace papayaway
