#include "OwnershipModel.h"

#include <cstdio>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

constexpr Millis kModelTime = Seconds(120);

// Guards against a key that runs twice and an outcome that changes, under
// any interleaving of pauses, partitions, losses, outages and crashes.
RC_GTEST_PROP(KeyOwnership, NoKeyRunsTwice, (std::uint64_t aSeed))
{
  OwnershipModel<OwnershipRules> model(aSeed, {});
  RC_ASSERT(model.Run(kModelTime) == "");
}

// Guards against naming a backup whose full copy was taken while another
// process of the backup acknowledged intents; a key ran twice at this seed.
TEST(KeyOwnership, BackupRestartDuringCopy)
{
  OwnershipModel<OwnershipRules> model(14294739, {});
  EXPECT_EQ(model.Run(kModelTime), "");
}

// Guards against a model that finds nothing because nothing happens in it.
TEST(KeyOwnership, ModelReachesTakeoversAndPromises)
{
  int runs = 0;
  int takeovers = 0;
  int promiseRuns = 0;
  int replays = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    OwnershipModel<OwnershipRules> model(seed, {});
    EXPECT_EQ(model.Run(kModelTime), "") << "seed " << seed;
    runs += model.mRuns;
    takeovers += model.mTakeovers;
    promiseRuns += model.mPromiseRuns;
    replays += model.mReplays;
  }
  std::printf("100 models: runs %d, by promises %d, takeovers %d, replays %d\n",
              runs,
              promiseRuns,
              takeovers,
              replays);
  EXPECT_GT(runs, 1000);
  EXPECT_GT(promiseRuns, 100);
  EXPECT_GT(takeovers, 100);
  EXPECT_GT(replays, 100);
}

template<typename Rules>
void
ExpectViolation(const char* aName,
                std::uint64_t aSeed,
                ModelOptions aOptions = {})
{
  // The seed is one that is known to fail. The search goes on from there, so
  // that a change of the model does not need other seeds.
  for (std::uint64_t seed = aSeed; seed < aSeed + 1500; ++seed) {
    OwnershipModel<Rules> model(seed, aOptions);
    const std::string violation = model.Run(kModelTime);
    if (!violation.empty()) {
      std::printf("without %s: seed %llu: %s\n",
                  aName,
                  static_cast<unsigned long long>(seed),
                  violation.c_str());
      return;
    }
  }
  ADD_FAILURE() << "no key runs twice without " << aName;
}

struct CountFromReply : OwnershipRules
{
  static constexpr bool kCountFromSend = false;
};
struct IgnorePromises : OwnershipRules
{
  static constexpr bool kHonourPromises = false;
};
struct PromiseInTakeover : OwnershipRules
{
  static constexpr bool kNoPromiseInTakeover = false;
};
struct KeepOldRow : OwnershipRules
{
  static constexpr bool kReadAfterLapse = false;
};
struct TakeOverUnacknowledged : OwnershipRules
{
  static constexpr bool kNeedAcknowledgement = false;
};
struct OnePromise : OwnershipRules
{
  static constexpr bool kNeedEveryPromise = false;
};

// Each test guards against a rule that the model does not depend on: with the
// rule switched off, a key runs twice.
template<typename Rules>
bool
RunsAfterTakeover()
{
  const NodeRun a{ "a", 1 };
  const NodeRun b{ "b", 1 };
  OwnersRow row{ .mService = "s",
                 .mVersion = 1,
                 .mCandidates = { { a, "dc" }, { b, "dc" } } };
  row.mSlots[3] = { .mRun = a, .mEpoch = 1 };
  row.mAcknowledged[a] = { b };
  BasicKeyOwnership<Rules> owner("s", { a, "dc" });
  BasicKeyOwnership<Rules> candidate("s", { b, "dc" });
  candidate.RowSeen(row, Millis{});
  // The platform grants the lease at 0 s; the reply takes 3 s.
  owner.LeaseGranted(Millis{}, Seconds(4), 1, Seconds(3));
  owner.RowSeen(row, Seconds(3));
  // At 4 s the lease has expired at the platform.
  EXPECT_TRUE(candidate.BeginTakeover(a, Millis{}, Seconds(4)));
  OwnersRow taken = candidate.TakeoverWrite(2)->mRow;
  taken.mVersion = 2;
  candidate.LeaseGranted(Seconds(4), Seconds(4), 3, Seconds(4));
  candidate.RowSeen(taken, Seconds(4));
  EXPECT_TRUE(candidate.MayRun(3, Seconds(5)));
  return owner.MayRun(3, Seconds(5));
}

// The random model reached this fault only at one seed in thousands, so the
// interleaving is fixed.
TEST(KeyOwnershipRule, CountFromSend)
{
  EXPECT_FALSE(RunsAfterTakeover<OwnershipRules>());
  EXPECT_TRUE(RunsAfterTakeover<CountFromReply>());
}

TEST(KeyOwnershipRule, HonourPromises)
{
  ExpectViolation<IgnorePromises>("honoured promises", 3);
}
TEST(KeyOwnershipRule, NoPromiseInTakeover)
{
  ExpectViolation<PromiseInTakeover>(
    "refused promises during a takeover", 767, { .mLongDelays = 0.2 });
}
TEST(KeyOwnershipRule, ReadAfterLapse)
{
  ExpectViolation<KeepOldRow>(
    "a read after a lapse", 582, { .mLongDelays = 0.2 });
}
TEST(KeyOwnershipRule, NeedAcknowledgement)
{
  ExpectViolation<TakeOverUnacknowledged>("acknowledged candidates", 9);
}
TEST(KeyOwnershipRule, NeedEveryPromise)
{
  ExpectViolation<OnePromise>("the promise of every candidate", 16);
}
TEST(KeyOwnershipRule, DoubtWindow)
{
  ExpectViolation<OwnershipRules>(
    "the doubt window", 7, { .mDoubtWindow = false });
}
TEST(KeyOwnershipRule, StoreIntents)
{
  ExpectViolation<OwnershipRules>(
    "stored intents", 4, { .mStoreIntents = false });
}

TEST(KeyOwnershipRule, GuardDispatch)
{
  ExpectViolation<OwnershipRules>(
    "the guard of the dispatch", 1, { .mGuardDispatch = false });
}

// Guards against an owner that runs keys alone when the platform is gone and
// nobody has promised anything, and against counting a stale promise.
TEST(KeyOwnership, PromisesCountFromTheRequest)
{
  const NodeRun self{ "a", 1 };
  const NodeRun other{ "b", 1 };
  OwnersRow row{ .mService = "s",
                 .mVersion = 1,
                 .mCandidates = { { self, "dc" }, { other, "dc" } } };
  row.mSlots[3] = { .mRun = self, .mEpoch = 1 };
  row.mAcknowledged[self] = { other };
  KeyOwnership owner("s", { self, "dc" });
  KeyOwnership candidate("s", { other, "dc" });
  owner.RowSeen(row, Seconds(1));
  candidate.RowSeen(row, Seconds(1));
  EXPECT_FALSE(owner.MayRun(3, Seconds(2)));
  const PromiseRequest request = owner.AskPromise(other, Seconds(10));
  EXPECT_TRUE(candidate.GivePromise(request, Seconds(12)));
  owner.PromiseReceived(request);
  EXPECT_TRUE(owner.MayRun(3, Seconds(17)));
  EXPECT_FALSE(owner.MayRun(3, Seconds(17.5)));
  EXPECT_FALSE(candidate.MayTakeOver(self, Seconds(60), Seconds(19)));
  EXPECT_TRUE(candidate.MayTakeOver(self, Seconds(60), Seconds(20)));
}

// Guards against a stop that leaves slots behind or piles them on one node.
TEST(KeyOwnership, HandOffSpreadsSlots)
{
  const NodeRun a{ "a", 1 };
  const NodeRun b{ "b", 1 };
  const NodeRun c{ "c", 1 };
  OwnersRow row{ .mService = "s",
                 .mVersion = 1,
                 .mCandidates = { { a, "dc" }, { b, "dc" }, { c, "dc" } } };
  for (SlotOwner& slot : row.mSlots) {
    slot = { .mRun = a, .mEpoch = 1 };
  }
  KeyOwnership owner("s", { a, "dc" });
  owner.RowSeen(row, Seconds(1));
  EXPECT_EQ(owner.PlanHandOff(false).size(), 10U);
  const auto plan = owner.PlanHandOff(true);
  EXPECT_EQ(plan.size(), 16U);
  EXPECT_FALSE(owner.HandOffWrite(plan));
  owner.BeginHandOff(plan);
  const auto write = owner.HandOffWrite(plan);
  ASSERT_TRUE(write);
  int toB = 0;
  for (const SlotOwner& slot : write->mRow.mSlots) {
    EXPECT_NE(slot.mRun, a);
    toB += slot.mRun == b ? 1 : 0;
  }
  EXPECT_EQ(toB, 8);
}

// Guards against a backup that forgets an outcome for a delayed intent, that
// grows without bound, or that is the owner itself.
TEST(BackupCopies, KeepsOutcomesWithinBounds)
{
  const NodeRun owner{ "a", 1 };
  BackupCopies copies({ .mMaxEntries = 1 });
  EXPECT_TRUE(copies.StoreIntent(owner, "s", "k", 7, Millis{}));
  const KeyEntry outcome{ "s", "k", 7, KeyState::Recorded, { 200, {}, "x" } };
  EXPECT_TRUE(copies.Store(owner, outcome, Millis{}));
  EXPECT_TRUE(copies.StoreIntent(owner, "s", "k", 7, Millis{}));
  EXPECT_FALSE(copies.StoreIntent(owner, "s", "k2", 7, Millis{}));
  EXPECT_EQ(copies.HandOver(owner, "s", KeySlot("k")),
            std::vector<KeyEntry>{ outcome });
  copies.Expire(Seconds(600));
  EXPECT_EQ(copies.Bytes(), 0U);
  EXPECT_FALSE(ChooseBackup(owner, { owner }));
}

} // namespace
} // namespace papayaway
