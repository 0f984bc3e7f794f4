#include <records/PeerRecordCopies.h>
#include <records/RecordBuffer.h>
#include <records/RecordExport.h>

#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayaway {
namespace {

RequestRecord
BidRecord()
{
  return { .mWallTime = Seconds(1000),
           .mMethod = "POST",
           .mRoute = "/bids",
           .mStatus = 201,
           .mOutcome = Outcome::Ran };
}

// Guards against names of customers or nodes that change the directory of an
// object or are not restored by parsing.
TEST(RecordNames, ParsingRestoresTheName)
{
  for (const char* customer : { "acme", "a/../b", "..", "ü %", "x.dropped" }) {
    for (const RecordObjectKind kind : { RecordObjectKind::Records,
                                         RecordObjectKind::Dropped,
                                         RecordObjectKind::Final }) {
      const RecordObjectName name{ customer, "n/1", 17, kind, 4, 4 };
      EXPECT_EQ(ParseRecordObjectName(name.ToString()), name);
      EXPECT_TRUE(name.ToString().starts_with(RecordPrefix(customer)));
    }
  }
  EXPECT_EQ((RecordObjectName{ "a/b", "n", 2, {}, 1, 9 }).ToString(),
            "records/a%2Fb/n/2/1-9");
  for (const char* wrong : { "records/a/n/1/9-1",
                             "records/a/n/1/0-1",
                             "records/a/n/x/1-2",
                             "records/a/1/1-2",
                             "records/a%2/n/1/1-2",
                             "records/a/n/1/01-2" }) {
    EXPECT_FALSE(ParseRecordObjectName(wrong)) << wrong;
  }
}

// Guards against a method with arbitrary bytes that makes its batch
// unreadable.
TEST(RequestRecord, AcceptsMethodThatIsNotUtf8)
{
  RequestRecord record = BidRecord();
  record.mSequence = 4;
  record.mMethod = "\xFF\n\"";
  const std::string line = ToLine(record);
  EXPECT_EQ(line.find('\n'), line.size() - 1);
  EXPECT_EQ(SequenceOfLine(line), 4U);
}

// Guards against a failed put that is never retried, a stored object that is
// put again, and a final marker that is stored before the records.
TEST(RecordBuffer, RetriesPutsThenStoresTheFinalMarker)
{
  RecordBuffer buffer("n1", 3);
  Random random(1);
  buffer.Append("acme", BidRecord(), {});
  buffer.Append("acme", BidRecord(), {});
  EXPECT_TRUE(buffer.TakeDue({ 1999 }).empty());
  const auto due = buffer.TakeDue({ 2000 });
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].mName, "records/acme/n1/3/1-2");
  EXPECT_TRUE(buffer.TakeDue({ 9000 }).empty());
  buffer.OnStoreFailed(due[0].mName, { 9000 }, random);
  EXPECT_TRUE(buffer.TakeDue({ 9001 }).empty());
  buffer.Finish();
  ASSERT_EQ(buffer.TakeDue({ 9500 }), due);
  buffer.OnStored(due[0].mName);
  EXPECT_EQ(buffer.Bytes(), 0U);
  const auto marker = buffer.TakeDue({ 9500 });
  ASSERT_EQ(marker.size(), 1U);
  EXPECT_EQ(marker[0].mName, "records/acme/n1/3/final-2");
  buffer.OnStored(marker[0].mName);
  EXPECT_TRUE(buffer.IsEmpty());
}

// Guards against unbounded memory use with many customers.
TEST(RecordBuffer, LimitsTheNumberOfCustomers)
{
  RecordBuffer buffer("n1", 3, { .mMaxCustomers = 2 });
  for (const char* customer : { "a", "b", "c", "a" }) {
    buffer.Append(customer, BidRecord(), {});
  }
  EXPECT_EQ(buffer.UntrackedRequests(), 1U);
}

// Guards against records without a copy, and against an unbounded queue of
// copies, if there is no neighbour for a time. More copies are queued here than
// the limit allows, so the buffer discards them and must copy its batches.
TEST(RecordBuffer, ReturnsAllCopiesAfterATimeWithoutNeighbour)
{
  RecordBuffer buffer("n1", 3);
  constexpr std::uint64_t kRecords = 8000;
  for (std::uint64_t i = 0; i < kRecords; ++i) {
    buffer.Append("acme", BidRecord(), {});
  }
  PeerRecordCopies peerCopies(4'000'000);
  for (const RecordCopy& copy : buffer.TakeCopies()) {
    peerCopies.OnCopy(copy, {});
  }
  ASSERT_EQ(peerCopies.UnstoredRecords("n1").size(), 1U);
  EXPECT_EQ(peerCopies.UnstoredRecords("n1")[0].mName,
            "records/acme/n1/3/1-8000");
  EXPECT_TRUE(buffer.TakeCopies().empty());
}

// Guards against keeping copies of records that are stored, and against losing
// records of a dead node that are not stored.
TEST(PeerRecordCopies, ReturnsUnstoredRecordsOfADeadNode)
{
  PeerRecordCopies peerCopies(10'000);
  peerCopies.OnCopy({ "n1", 3, 1, 2, "acme", "a\nb\n" }, {});
  peerCopies.OnCopy({ "n1", 3, 3, 3, "acme", "c\n" }, {});
  peerCopies.OnCopy({ "n1", 3, 5, 5, "acme", "e\n" }, {});
  peerCopies.OnCopy({ "n2", 3, 1, 1, "acme", "x\n" }, {});
  const std::vector<RecordObject> unstored{
    { "records/acme/n1/3/1-3", "a\nb\nc\n" }, { "records/acme/n1/3/5-5", "e\n" }
  };
  EXPECT_EQ(peerCopies.UnstoredRecords("n1"), unstored);
  peerCopies.OnCopy({ .mOrigin = "n1",
                      .mIncarnation = 3,
                      .mFirst = 1,
                      .mLast = 3,
                      .mCustomer = "acme",
                      .mStored = true },
                    {});
  peerCopies.OnStored("records/acme/n1/3/5-5");
  EXPECT_TRUE(peerCopies.UnstoredRecords("n1").empty());
  peerCopies.OnTick(PeerRecordCopies::kLifetime);
  EXPECT_EQ(peerCopies.Bytes(), 0U);
}

// Guards against unbounded memory use for copies.
TEST(PeerRecordCopies, DropsOldestWhenFull)
{
  PeerRecordCopies peerCopies(1000);
  for (std::uint64_t i = 1; i <= 20; i += 2) {
    peerCopies.OnCopy({ "n1", 3, i, i, "acme", "line\n" }, { 1.0 * i });
    ASSERT_LE(peerCopies.Bytes(), 1000U);
  }
  EXPECT_GT(peerCopies.Dropped(), 0U);
  EXPECT_EQ(peerCopies.UnstoredRecords("n1").back().mName,
            "records/acme/n1/3/19-19");
}

// Guards against an export that omits a missing range, repeats records of
// overlapping objects, or takes the records of a truncated object from its
// name.
TEST(RecordExport, ReportsGaps)
{
  const auto lines = [](std::uint64_t aFirst, std::uint64_t aLast) {
    std::string text;
    for (std::uint64_t i = aFirst; i <= aLast; ++i) {
      text += ToLine({ .mSequence = i });
    }
    return text;
  };
  const std::string name = "records/acme/n1/3/";
  const RecordExport result =
    ExportRecords({ { name + "10-12", lines(10, 12) },
                    { name + "3-5", lines(3, 5) },
                    { name + "5-6", lines(5, 6) + "{" },
                    { name + "8-11.dropped", "" },
                    { name + "final-14", "" },
                    { "records/acme", "" } });
  ASSERT_EQ(result.mIncarnations.size(), 1U);
  const IncarnationRecords& records = result.mIncarnations[0];
  EXPECT_EQ(records.mRanges,
            (std::vector<SequenceRange>{ { 3, 6 }, { 10, 12 } }));
  EXPECT_EQ(records.mGaps,
            (std::vector<RecordGap>{ { { 1, 2 }, false },
                                     { { 7, 7 }, false },
                                     { { 8, 9 }, true },
                                     { { 13, 14 }, false } }));
  EXPECT_EQ(records.mFinal, 14U);
  EXPECT_EQ(records.mLines, lines(3, 6) + lines(10, 12));
  EXPECT_EQ(result.mFindings.size(), 2U);
}

// Guards against a record that is neither exported nor in a reported gap. Puts
// fail at random, memory may be short, and the node may die, in which case its
// neighbour stores the copies that it holds.
RC_GTEST_PROP(Records, EveryRecordIsExportedOrInAGap, ())
{
  const bool dies = *rc::gen::arbitrary<bool>();
  const std::size_t memory = *rc::gen::element(600, 3000, 100'000);
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  RecordBuffer buffer("n1", 3, { .mMaxBytes = memory, .mBatchBytes = 300 });
  PeerRecordCopies peerCopies(1'000'000);
  std::map<std::string, std::string> store;
  std::map<std::string, std::uint64_t> appended;
  Millis now;
  const auto step = [&](double aFailures) {
    now += { 300 };
    for (const RecordObject& object : buffer.TakeDue(now)) {
      if (UniformFraction(random) < aFailures) {
        buffer.OnStoreFailed(object.mName, now, random);
      } else {
        store[object.mName] = object.mContent;
        buffer.OnStored(object.mName);
      }
    }
    for (const RecordCopy& copy : buffer.TakeCopies()) {
      peerCopies.OnCopy(copy, now);
    }
  };
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    for (std::uint64_t calls = UniformBelow(random, 6); calls > 0; --calls) {
      const std::string customer = UniformBelow(random, 2) == 0 ? "a" : "b";
      buffer.Append(customer, BidRecord(), now);
      ++appended[customer];
      RC_ASSERT(buffer.Bytes() <= memory);
    }
    step(0.7);
  }
  if (dies) {
    for (const RecordObject& object : peerCopies.UnstoredRecords("n1")) {
      store[object.mName] = object.mContent;
    }
  } else {
    buffer.Finish();
    for (int i = 0; i < 1000 && !buffer.IsEmpty(); ++i) {
      step(0.2);
    }
    RC_ASSERT(buffer.IsEmpty());
    RC_ASSERT(peerCopies.Bytes() == 0U || buffer.DroppedRecords() > 0U);
  }
  std::vector<RecordObject> objects;
  objects.reserve(store.size());
  for (const auto& [name, content] : store) {
    objects.push_back({ name, content });
  }
  const RecordExport result = ExportRecords(objects);
  RC_ASSERT(result.mFindings.empty());
  for (const IncarnationRecords& records : result.mIncarnations) {
    std::uint64_t covered = 0;
    std::uint64_t last = 0;
    for (const SequenceRange& range : records.mRanges) {
      covered += range.mLast - range.mFirst + 1;
      last = std::max(last, range.mLast);
    }
    for (const RecordGap& gap : records.mGaps) {
      RC_ASSERT(dies || gap.mDropped);
      RC_ASSERT(buffer.DroppedRecords() > 0U);
      covered += gap.mRange.mLast - gap.mRange.mFirst + 1;
      last = std::max(last, gap.mRange.mLast);
    }
    RC_ASSERT(covered == last);
    // If the node dropped its last records and died, no gap covers them.
    RC_ASSERT(last == appended[records.mCustomer] ||
              (dies && buffer.DroppedRecords() > 0U));
  }
  RC_ASSERT(result.mIncarnations.size() == appended.size() || dies);
}

} // namespace
} // namespace papayaway
