#include <sidecar/PeerMessages.h>

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway::sidecar {
namespace {

const CallMessage kCall{ .mId = 7,
                         .mRequestId = "r1",
                         .mService = "s",
                         .mVersionRule = VersionRule::AllBut,
                         .mVersion = "v2",
                         .mRoute = "route",
                         .mMethod = "POST",
                         .mTarget = "/a/b?c",
                         .mHeaders = { { "Host", "x" }, { "Y", "\xff" } },
                         .mBody = std::string("\0\xfe body", 7),
                         .mTimeLeft = Millis{ 900 },
                         .mObjectiveLeft = Millis{ -30 },
                         .mPriority = 2,
                         .mIdempotent = true };

const ReplyMessage kReply{ .mId = 7,
                           .mOutcome = CallOutcome::NotRun,
                           .mStatus = 503,
                           .mHeaders = { { "A", "b" } },
                           .mBody = "text",
                           .mReason = "no_slot_in_time",
                           .mReachedTarget = true,
                           .mRetryAfter = Millis{ 80 },
                           .mLoad = { .mSlots = 6,
                                      .mRunning = 6,
                                      .mWaiting = 2,
                                      .mMeanRunTime = Millis{ 120 },
                                      .mSuccessRate = 0.5 } };

void
ExpectRoundTrip(const PeerMessage& aMessage)
{
  const auto decoded = DecodeMessage(EncodeMessage(aMessage));
  ASSERT_TRUE(decoded) << decoded.error().mMessage;
  EXPECT_TRUE(*decoded == aMessage);
}

// Guards against a field that is encoded but not decoded, or the reverse.
TEST(PeerMessages, EachMessageTypeRoundTrips)
{
  ExpectRoundTrip(kCall);
  ExpectRoundTrip(kReply);
  ExpectRoundTrip(CancelMessage{ .mId = 9 });
  const gateway::CapRound round{
    .mCoordinator = { .mDataCentre = "d", .mNode = "n", .mProcess = 77 },
    .mNumber = 4
  };
  ExpectRoundTrip(CapReportMessage{
    { .mLoan = gateway::CapLoan{ .mRound = round, .mShare = 0.25 },
      .mRequest = 3,
      .mWanted = { { "t", 12 } } } });
  ExpectRoundTrip(CapGrantMessage{
    { .mRound = round,
      .mRequest = 3,
      .mGrants = { { .mTenant = "t",
                     .mGrant = { .mTokens = 5, .mWait = Millis{ 40 } },
                     .mValidFor = Millis{ 350 } } } } });
  ExpectRoundTrip(WithdrawMessage{ .mId = 9 });
  ExpectRoundTrip(ConfirmationMessage{
    .mNode = "n", .mAgo = Millis{ 20 }, .mStateVersion = 4 });
  ExpectRoundTrip(
    LoadMessage{ .mStateVersion = 7, .mConfirmedAgo = Millis{ 1234 } });
  ExpectRoundTrip(LoadMessage{ .mLoad = kReply.mLoad,
                               .mStateVersion = 31,
                               .mFollowState = gateway::FollowState::Failing });
  ExpectRoundTrip(
    DataCentreLoadsMessage{ .mLoads = { { "n1", kReply.mLoad } } });
  ExpectRoundTrip(RecordMessage{
    { .mNode = "n",
      .mDataCentre = "a",
      .mRegion = "r",
      .mPeerAddress = "1.2.3.4:5",
      .mIncarnation = 8,
      .mSequence = 3,
      .mLeaving = true,
      .mTarget =
        gateway::TargetInfo{ .mId = "i",
                             .mService = "s",
                             .mVersion = "v",
                             .mSlots = 12,
                             .mState = gateway::TargetState::Gone } } });
  ExpectRoundTrip(RecordMessage{ { .mNode = "without target" } });
  const gateway::LeftTarget left{ .mId = "i", .mStartedUntil = Millis{ 9e11 } };
  ExpectRoundTrip(RecordMessage{ { .mNode = "n", .mLeft = { left } } });
  ExpectRoundTrip(LeftTargetsMessage{ .mLeft = { left } });
  ExpectRoundTrip(RecordCopiedMessage{ .mIncarnation = 7, .mSequence = 2 });
  ExpectRoundTrip(EvidenceMessage{
    .mNode = "n",
    .mIncarnation = 4,
    .mCounts = { { { .mService = "s", .mVersion = "v", .mRoute = "r" },
                   { .mRuns = 5,
                     .mFailures = 2,
                     .mSlowRuns = 1,
                     .mTotalRunTime = Millis{ 70 } } } } });
  ExpectRoundTrip(
    ProgressMessage{ { .mService = "s",
                       .mVersion = "v2",
                       .mOrderVersion = 12,
                       .mState = gateway::RolloutState::RolledBack,
                       .mStage = 2,
                       .mStarted = Millis{ 100.5 },
                       .mStageStarted = Millis{ 200.5 },
                       .mReason = "why" } });
  ExpectRoundTrip(OperatorRowsQuery{});
  ExpectRoundTrip(OperatorRowMessage{
    .mKey = "k",
    .mPackedValue = "v",
    .mVersion = 5,
    .mBaseVersion = 4,
    .mDelta = { .mParts = { { .mOffset = 1, .mLength = 2 }, { .mBytes = "x" } },
                .mHash = 99 } });
  ExpectRoundTrip(CrashMessage{
    .mReport = { .mId = "n/1", .mService = "s", .mFingerprints = { "f" } } });
  ExpectRoundTrip(SuspectCompletedMessage{ .mFingerprint = "f" });
  ExpectRoundTrip(
    QuarantineMessage{ .mCrashes = { { .mId = "n/1",
                                       .mService = "s",
                                       .mReportedAt = Millis{ 9e11 },
                                       .mSuspects = { "f" } } } });
  ExpectRoundTrip(QuarantineMessage{ .mFacts = { { .mFingerprint = "f",
                                                   .mService = "s",
                                                   .mSequence = 3,
                                                   .mExpires = Millis{ 5000 } },
                                                 { .mFingerprint = "g" } } });
  ExpectRoundTrip(LoadMessage{ .mEvacuationDigest = ~std::uint64_t{ 0 } });
  ExpectRoundTrip(EvacuationsMessage{ { .mVersion = 5 } });
  ExpectRoundTrip(
    EvacuationsMessage{ { .mVersion = 5, .mDataCentres = { "a", "b" } } });
}

// Guards against evacuations of another program that a node keeps and sends on
// without a bound.
TEST(PeerMessages, EvacuationsBeyondTheirBoundsAreRejected)
{
  EvacuationsMessage many;
  for (std::size_t i = 0; i <= gateway::kMaxEvacuations; ++i) {
    many.mEvacuations.mDataCentres.insert(std::to_string(i));
  }
  EXPECT_FALSE(DecodeMessage(EncodeMessage(many)));
  EXPECT_FALSE(DecodeMessage(
    EncodeMessage(EvacuationsMessage{ { .mDataCentres = { "" } } })));
  EXPECT_FALSE(DecodeMessage(EncodeMessage(
    EvacuationsMessage{ { .mDataCentres = { std::string(256, 'x') } } })));
}

// Guards against malformed messages, such as truncated ones or those of another
// program, that crash the process.
RC_GTEST_PROP(PeerMessages, MalformedBytesDecodeToAMessageOrAnError, ())
{
  std::string bytes = EncodeMessage(*rc::gen::element<PeerMessage>(
    kCall,
    kReply,
    LoadMessage{},
    RecordMessage{},
    OperatorRowMessage{},
    CapReportMessage{
      { .mLoan = gateway::CapLoan{}, .mWanted = { { "t", 12 } } } },
    CapGrantMessage{
      { .mRound = gateway::CapRound{}, .mGrants = { { .mTenant = "t" } } } }));
  const auto corruptedPositions = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, bytes.size()));
  for (const std::size_t position : corruptedPositions) {
    bytes[position] = *rc::gen::arbitrary<char>();
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto decoded = DecodeMessage(bytes);
  RC_ASSERT(decoded || !decoded.error().mMessage.empty());
}

// Guards against an exception that ends the node, which the parser throws for
// an object or array with more entries than fit into memory.
TEST(PeerMessages, ExcessiveSizesAreRejected)
{
  for (const char* const bytes : { "\xbb\x04\x07\x04\x04\x04\x04\x04\x21",
                                   "\x9b\x7f\x07\x04\x04\x04\x04\x04\x21",
                                   "\x82\xbb\x7f\x07\x04\x04\x04\x04\x04" }) {
    EXPECT_FALSE(DecodeMessage(bytes));
  }
}

// Guards against records of another writer whose addresses, numbers or nesting
// a node can't use, among the records that nodes read from the store.
TEST(PeerMessages, RecordsOutOfRangeAreRejected)
{
  const std::string nested(30000, '[');
  EXPECT_TRUE(
    DecodeRecord(R"(["n","a","r","10.0.0.1:80",1,1,false,["i","s","v",4,0]])"));
  for (const std::string& text : std::vector<std::string>{
         nested,
         nested + std::string(30000, ']'),
         R"(["","a","r","10.0.0.1:80",1,1,false])",
         R"(["n","a","r","10.0.0.1:99999",1,1,false])",
         R"(["n","a","r","host:80",1,1,false])",
         R"(["n","a","r","10.0.0.1:80",18446744073709551615,1,false])",
         R"(["n","a","r","10.0.0.1:80",1,18446744073709551615,false])",
         R"(["n","a","r","10.0.0.1:80",1e999,1,false])",
         R"(["n","a","r","10.0.0.1:80",1,1,false,["i","s","v",0,0]])",
         R"(["n","a","r","10.0.0.1:80",1,1,false,["i","s","v",100001,0]])",
         R"(["n","a","r","10.0.0.1:80",1,1,false,["i","s","v",4,77]])",
         R"(["n","a","r","10.0.0.1:80",1,1,false,["","s","v",4,0]])" }) {
    EXPECT_FALSE(DecodeRecord(text)) << text.substr(0, 80);
  }
}

TEST(PeerMessages, StageBeyondTheLastIsClamped)
{
  const auto progress = DecodeProgress(R"(["s","v2",1,0,99,0,0,""])");
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->mStage, gateway::kStageShares.size() - 1);
  EXPECT_FALSE(DecodeProgress("[]"));
  EXPECT_FALSE(DecodeProgress("no json"));
  EXPECT_FALSE(DecodeRecord("{}"));
}

} // namespace
} // namespace papayaway::sidecar
