#include <keys/KeyLedger.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

const RecordedResponse kResponse{ 201, { { "Bid", "7" } }, "accepted" };

// Guards against running a retried key again, and against answering it with
// another response than the first request.
TEST(KeyLedger, JoinsRunThenReplaysResponse)
{
  KeyLedger ledger;
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 10, Millis{ 0 }).mAdmission,
            KeyAdmission::Run);
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 11, Millis{ 1 }).mAdmission,
            KeyAdmission::Joined);
  EXPECT_EQ(ledger.Complete("bids", "k", kResponse, Millis{ 2 }),
            (std::vector<std::uint64_t>{ 10, 11 }));
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 12, Millis{ 3 }),
            (KeyAdmissionResult{ KeyAdmission::Replay, kResponse }));
}

// Guards against answering a request with the response of a different request
// that used the same key.
TEST(KeyLedger, RefusesReusedKeyOfDifferentRequest)
{
  KeyLedger ledger;
  const std::uint64_t first = RequestHash("POST", "/bids", "a");
  ledger.Admit("bids", "k", first, 1, Millis{});
  EXPECT_EQ(
    ledger.Admit("bids", "k", RequestHash("POST", "/bids", "b"), 2, Millis{})
      .mAdmission,
    KeyAdmission::Mismatch);
}

// Guards against evicting a key within its retention time, which could then run
// twice, and against memory that grows without bound.
TEST(KeyLedger, RefusesNewKeysWhenFull)
{
  KeyLedger ledger({ .mRetention = Millis{ 100 }, .mMaxEntries = 1 });
  ledger.Admit("bids", "k1", 1, 1, Millis{ 0 });
  ledger.Complete("bids", "k1", kResponse, Millis{ 0 });
  EXPECT_EQ(ledger.Admit("bids", "k2", 1, 2, Millis{ 99 }).mAdmission,
            KeyAdmission::Full);
  EXPECT_EQ(ledger.Admit("bids", "k1", 1, 3, Millis{ 99 }).mAdmission,
            KeyAdmission::Replay);
  EXPECT_EQ(ledger.Admit("bids", "k2", 1, 2, Millis{ 100 }).mAdmission,
            KeyAdmission::Run);
}

// Guards against keeping a response that exceeds the memory limit, and against
// running its key again because the response was not kept.
TEST(KeyLedger, LargeResponseIsNotKept)
{
  KeyLedger ledger({ .mMaxBytes = 4096 });
  ledger.Admit("bids", "k", 1, 1, Millis{});
  ledger.Complete("bids", "k", { 200, {}, std::string(8192, 'x') }, Millis{});
  EXPECT_LE(ledger.Bytes(), 4096U);
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 2, Millis{}).mAdmission,
            KeyAdmission::Unknown);
}

// Guards against running a key that the previous owner may have run, also when
// it is retried after the end of the in-doubt window.
TEST(KeyLedger, InDoubtWindowAnswersUnknown)
{
  KeyLedger ledger;
  ledger.OpenInDoubtWindow("bids", KeySlot("k"), Seconds(30));
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 1, Seconds(29)).mAdmission,
            KeyAdmission::Unknown);
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 1, Seconds(31)).mAdmission,
            KeyAdmission::Unknown);
  std::string other = "a";
  while (KeySlot(other) != KeySlot("k")) {
    other += "a";
  }
  EXPECT_EQ(ledger.Admit("bids", other, 1, 1, Seconds(31)).mAdmission,
            KeyAdmission::Run);
}

// Guards against an abandoned key that stays claimed, and against dropping an
// outcome that arrives after the key was marked as unknown.
TEST(KeyLedger, AbandonedKeyRunsAndLateOutcomeIsKept)
{
  KeyLedger ledger;
  ledger.Admit("bids", "k", 1, 1, Millis{});
  EXPECT_EQ(ledger.Abandon("bids", "k").size(), 1U);
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 1, Millis{}).mAdmission,
            KeyAdmission::Run);
  ledger.MarkUnknown("bids", "k", Millis{ 5 });
  EXPECT_TRUE(ledger.Restore({ "bids", "k", 1, KeyState::Recorded, kResponse },
                             Millis{ 9 }));
  EXPECT_EQ(ledger.Admit("bids", "k", 1, 1, Millis{ 10 }).mAdmission,
            KeyAdmission::Replay);
}

} // namespace
} // namespace papayaway
