#include <gtest/gtest.h>

#include <net/HttpServer.h>
#include <platform/PlatformClient.h>

#include "PlatformServer.h"

namespace papayaway {
namespace {

// Connects the platform client to the platform stand-in over HTTP, on one
// event loop.
class ContractTest : public testing::Test
{
protected:
  void SetUp() override
  {
    auto server = HttpServer::Listen(
      mLoop, {}, [this](const std::shared_ptr<HttpExchange>& aExchange) {
        mPlatform.Serve(aExchange);
      });
    ASSERT_TRUE(server.has_value());
    mServer = std::move(*server);
    mClient = std::make_unique<PlatformClient>(
      mLoop,
      mHttp,
      PlatformOptions{ .mAddress = mServer->Address(),
                       .mTimeout = { 200 },
                       .mLookupDelay = { 5 } },
      Random(1));
  }

  template<typename T, typename Start>
  Expected<T> Await(Start aStart)
  {
    std::optional<Expected<T>> outcome;
    aStart([&](Expected<T> aResult) {
      outcome = std::move(aResult);
      mLoop.Stop();
    });
    Timer timeoutTimer(mLoop, [this] { mLoop.Stop(); });
    timeoutTimer.StartOnce(Seconds(20));
    mLoop.Run();
    return outcome ? *outcome : Fail(ErrorCode::Internal, "no result");
  }

  Expected<CommitResult> Commit(const Transaction& aTransaction)
  {
    return Await<CommitResult>(
      [&](const auto& aCallback) { mClient->Commit(aTransaction, aCallback); });
  }

  void SetFaults(const std::string& aBody)
  {
    mHttp.Send({ .mAddress = mServer->Address(),
                 .mRequest = { .mMethod = "POST",
                               .mPath = "/admin/faults",
                               .mBody = aBody } },
               [this](const HttpResult& aResult) {
                 EXPECT_EQ(aResult.mResponse.mStatus, 200);
                 mLoop.Stop();
               });
    mLoop.Run();
  }

  EventLoop mLoop;
  HttpClient mHttp{ mLoop, {} };
  PlatformServer mPlatform{ mLoop };
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<PlatformClient> mClient;
};

// Guards against differences between the interfaces of the client and the
// stand-in, and against a fault that loses or duplicates a write.
TEST_F(ContractTest, CommitUnderEachFault)
{
  Transaction transaction{ .mOperation = "o1", .mWrites = { { "a/b", 1 } } };
  const CommitResult first = Committed{ { { "a/b", 1 } } };
  SetFaults(R"({"lose_replies":1})");
  EXPECT_EQ(Commit(transaction), first);
  EXPECT_EQ(Commit(transaction), first);
  transaction.mOperation = "o2";
  SetFaults(R"({"outage":true})");
  EXPECT_EQ(Commit(transaction).error().mCode, ErrorCode::Unavailable);
  SetFaults(R"({"outage":true,"hang":true})");
  EXPECT_EQ(Commit(transaction).error().mCode, ErrorCode::OutcomeUnknown);
  SetFaults(R"({"delay_ms":300})");
  EXPECT_EQ(Commit(transaction).error().mCode, ErrorCode::OutcomeUnknown);
  SetFaults("{}");
  const CommitResult second = Committed{ { { "a/b", 2 } } };
  EXPECT_EQ(Commit(transaction), second);
  transaction.mOperation = "o3";
  transaction.mConditions = { { "a/b", 1 } };
  const CommitResult conflict = CommitConflict{ { { "a/b", 2 } }, {} };
  EXPECT_EQ(Commit(transaction), conflict);
  const std::vector<TableRow> rows{ { "a/b", 2, 1 } };
  EXPECT_EQ(Await<std::vector<TableRow>>([&](const auto& aCallback) {
              mClient->ScanRows("a/", aCallback);
            }),
            rows);
}

// Guards against a lease or an object that changes when it is stored and read
// back.
TEST_F(ContractTest, LeasesAndObjects)
{
  const LeaseClaim claim{ "relay/dc 1", "n1", "address", Seconds(6) };
  const auto grant = Await<LeaseClaimResult>(
    [&](const auto& aCallback) { mClient->AcquireLease(claim, aCallback); });
  ASSERT_TRUE(grant && std::holds_alternative<LeaseGrant>(*grant));
  const LeaseToken token = std::get<LeaseGrant>(*grant).mToken;
  EXPECT_EQ(token, 1U);
  const auto refused = Await<LeaseClaimResult>([&](const auto& aCallback) {
    mClient->AcquireLease({ "relay/dc 1", "n2", "", Seconds(6) }, aCallback);
  });
  ASSERT_TRUE(refused && std::holds_alternative<LeaseState>(*refused));
  EXPECT_EQ(std::get<LeaseState>(*refused).mHolder, "n1");
  const Transaction stale{ .mOperation = "o",
                           .mLeases = { { claim.mName, 9 } } };
  const CommitResult conflict = CommitConflict{ {}, { claim.mName } };
  EXPECT_EQ(Commit(stale), conflict);
  EXPECT_TRUE(Await<PlatformClient::Empty>([&](const auto& aCallback) {
    mClient->ReleaseLease(claim.mName, "n1", token, aCallback);
  }));
  EXPECT_EQ(Await<LeaseState>([&](const auto& aCallback) {
              mClient->ReadLease(claim.mName, aCallback);
            })
              .error()
              .mCode,
            ErrorCode::NotFound);

  const std::string content("a\0b\n", 4);
  EXPECT_TRUE(Await<PlatformClient::Empty>([&](const auto& aCallback) {
    mClient->PutObject("records/c/1-2", content, aCallback);
  }));
  EXPECT_EQ(Await<std::string>([&](const auto& aCallback) {
              mClient->GetObject("records/c/1-2", aCallback);
            }),
            content);
  const std::vector<ObjectInfo> objects{ { "records/c/1-2", 4 } };
  EXPECT_EQ(Await<std::vector<ObjectInfo>>([&](const auto& aCallback) {
              mClient->ListObjects("records/", aCallback);
            }),
            objects);
}

} // namespace
} // namespace papayaway
