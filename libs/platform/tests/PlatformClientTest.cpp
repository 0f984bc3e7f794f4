#include <platform/PlatformClient.h>

#include <optional>

#include <gtest/gtest.h>
#include <net/HttpServer.h>

namespace papayaway {
namespace {

constexpr Millis kTestTimeout = Seconds(20);

// Runs an HTTP server on the event loop of the test in place of the platform.
// mRespond makes the responses; a status of 0 means that no response is sent.
class PlatformClientTest : public testing::Test
{
protected:
  void SetUp() override
  {
    auto server = HttpServer::Listen(
      mLoop, {}, [this](const std::shared_ptr<HttpExchange>& aExchange) {
        mRequests.push_back(aExchange->Request());
        HttpResponse response = mRespond(aExchange->Request());
        if (response.mStatus != 0) {
          aExchange->Respond(std::move(response));
        }
      });
    ASSERT_TRUE(server.has_value());
    mServer = std::move(*server);
    mClient = std::make_unique<PlatformClient>(
      mLoop,
      mHttp,
      PlatformOptions{ .mAddress = mServer->Address(),
                       .mTimeout = { 100 },
                       .mMaxLookups = 3,
                       .mLookupDelay = { 5 } },
      Random(1));
  }

  // Runs the loop until the callback that aStart receives has run.
  template<typename T, typename Start>
  Expected<T> Await(Start aStart)
  {
    std::optional<Expected<T>> outcome;
    aStart([&](Expected<T> aResult) {
      outcome = std::move(aResult);
      mLoop.Stop();
    });
    Timer timeoutTimer(mLoop, [this] { mLoop.Stop(); });
    timeoutTimer.StartOnce(kTestTimeout);
    mLoop.Run();
    return outcome ? *outcome : Fail(ErrorCode::Internal, "no result");
  }

  Expected<CommitResult> Commit()
  {
    const Transaction transaction{ .mOperation = "op 1",
                                   .mConditions = { { "row", 4 } },
                                   .mLeases = { { "conductor", 7 } },
                                   .mWrites = { { "row", 5 } } };
    return Await<CommitResult>(
      [&](const auto& aCallback) { mClient->Commit(transaction, aCallback); });
  }

  static bool IsLookup(const HttpRequest& aRequest)
  {
    return aRequest.mPath == "/operations/op%201";
  }

  static HttpResponse ResponseLost()
  {
    HttpResponse response = JsonResponse(503, "{}");
    response.mHeaders.Add("X-Fault", "reply-lost");
    return response;
  }

  EventLoop mLoop;
  HttpClient mHttp{ mLoop, {} };
  std::function<HttpResponse(const HttpRequest&)> mRespond;
  std::vector<HttpRequest> mRequests;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<PlatformClient> mClient;
};

const CommitResult kCommitted = Committed{ { { "row", 5 } } };
const std::string kVersions = R"({"versions":{"row":5}})";

// Guards against parts of a transaction that are missing in the request.
TEST_F(PlatformClientTest, CommitSendsAllPartsOfTheTransaction)
{
  mRespond = [](const HttpRequest&) { return JsonResponse(200, kVersions); };
  EXPECT_EQ(Commit(), kCommitted);
  EXPECT_EQ(nlohmann::json::parse(mRequests.at(0).mBody),
            nlohmann::json::parse(
              R"({"operation":"op 1","conditions":[{"key":"row","version":4}],
                  "leases":[{"name":"conductor","token":7}],
                  "writes":[{"key":"row","value":5}],"deletes":[]})"));
}

// Guards against reporting a write as failed when only its response was lost.
TEST_F(PlatformClientTest, LostResponseIsResolvedByLookup)
{
  int lookups = 0;
  mRespond = [&](const HttpRequest& aRequest) {
    if (!IsLookup(aRequest)) {
      return ResponseLost();
    }
    return ++lookups == 1 ? JsonResponse(503, "{}")
                          : JsonResponse(200, kVersions);
  };
  EXPECT_EQ(Commit(), kCommitted);
  EXPECT_EQ(lookups, 2);
}

// Guards against reporting an unknown outcome when the platform has processed
// the write without an effect.
TEST_F(PlatformClientTest, UnknownOperationAfterALostResponseHadNoEffect)
{
  mRespond = [](const HttpRequest& aRequest) {
    return IsLookup(aRequest) ? JsonResponse(404, "{}") : ResponseLost();
  };
  EXPECT_EQ(Commit().error().mCode, ErrorCode::Unavailable);
}

// Guards against reporting that a write had no effect when its request may
// still reach the platform. A lookup that finds no result does not rule that
// out.
TEST_F(PlatformClientTest, CommitWithoutResponseIsRetriedWithTheSameId)
{
  int commits = 0;
  mRespond = [&](const HttpRequest& aRequest) {
    if (IsLookup(aRequest)) {
      return JsonResponse(404, "{}");
    }
    return ++commits == 1 ? HttpResponse{ .mStatus = 0 }
                          : JsonResponse(200, kVersions);
  };
  EXPECT_EQ(Commit(), kCommitted);
  EXPECT_EQ(mRequests.front().mBody, mRequests.back().mBody);
}

// Guards against unlimited lookups in a long outage, and against reporting a
// definite outcome of a write whose outcome is unknown.
TEST_F(PlatformClientTest, UnresponsivePlatformGivesAnUnknownOutcome)
{
  mRespond = [](const HttpRequest&) { return HttpResponse{ .mStatus = 0 }; };
  EXPECT_EQ(Commit().error().mCode, ErrorCode::OutcomeUnknown);
  EXPECT_EQ(mRequests.size(), 4U);
  mRequests.clear();
  // A later 503 does not tell whether the unanswered request had an effect.
  mRespond = [&](const HttpRequest& aRequest) {
    return aRequest.mMethod == "POST" && mRequests.size() == 1
             ? HttpResponse{ .mStatus = 0 }
             : JsonResponse(503, "{}");
  };
  EXPECT_EQ(Commit().error().mCode, ErrorCode::OutcomeUnknown);
  EXPECT_EQ(mClient->Pending(), 0U);
}

// Guards against reporting an unknown outcome when the platform refused the
// request or could not be reached.
TEST_F(PlatformClientTest, OutageHasNoEffect)
{
  mRespond = [](const HttpRequest&) { return JsonResponse(503, "{}"); };
  EXPECT_EQ(Commit().error().mCode, ErrorCode::Unavailable);
  EXPECT_EQ(mRequests.size(), 1U);
  mServer.reset();
  EXPECT_EQ(Commit().error().mCode, ErrorCode::Unavailable);
}

// Guards against a conflict that does not name the rows and leases whose
// conditions failed.
TEST_F(PlatformClientTest, ConflictNamesRowsAndLeases)
{
  mRespond = [](const HttpRequest&) {
    return JsonResponse(
      409, R"({"failed":[{"key":"row","version":9}],"leases":["conductor"]})");
  };
  const CommitResult expected =
    CommitConflict{ { { "row", 9 } }, { "conductor" } };
  EXPECT_EQ(Commit(), expected);
}

// Guards against a holder that regards its lease as valid for longer than the
// platform does, which counts from the arrival of the request.
TEST_F(PlatformClientTest, LeaseEndCountsFromBeforeTheRequest)
{
  mRespond = [](const HttpRequest&) {
    return JsonResponse(200, R"({"token":3,"ttl_ms":6000})");
  };
  const Millis before = SteadyNow();
  const auto grant = Await<LeaseClaimResult>([&](const auto& aCallback) {
    mClient->RenewLease(
      { .mName = "relay/nbo-1", .mHolder = "node", .mDuration = Seconds(6) },
      3,
      aCallback);
    EXPECT_LE(SteadyNow(), before + kTestTimeout);
  });
  const Millis after = SteadyNow();
  ASSERT_TRUE(grant.has_value());
  const auto& held = std::get<LeaseGrant>(*grant);
  EXPECT_EQ(held.mToken, 3U);
  EXPECT_GE(held.mValidUntil, before + Seconds(6));
  EXPECT_LT(held.mValidUntil, after + Seconds(6));
  EXPECT_EQ(mRequests.at(0).mPath, "/leases/relay/nbo-1");
  mRespond = [](const HttpRequest&) {
    return JsonResponse(409, R"({"holder":"b","value":"v","remaining_ms":40})");
  };
  const LeaseClaimResult other = LeaseState{ "b", "v", 0, { 40 } };
  EXPECT_EQ(Await<LeaseClaimResult>([&](const auto& aCallback) {
              mClient->AcquireLease({ .mName = "l" }, aCallback);
            }),
            other);
}

// Guards against keys that are not percent-encoded in paths and queries, and
// against a malformed response that ends the process by an exception.
TEST_F(PlatformClientTest, ReadsEncodeKeysAndReportMalformedResponses)
{
  mRespond = [](const HttpRequest& aRequest) {
    return aRequest.QueryValue("prefix") == "a+b/&"
             ? JsonResponse(
                 200, R"({"rows":[{"key":"a+b/&c","version":2,"value":"x"}]})")
             : JsonResponse(200, R"({"version":"two"})");
  };
  const std::vector<TableRow> rows{ { "a+b/&c", 2, "x" } };
  EXPECT_EQ(Await<std::vector<TableRow>>([&](const auto& aCallback) {
              mClient->ScanRows("a+b/&", aCallback);
            }),
            rows);
  const auto row = Await<TableRow>(
    [&](const auto& aCallback) { mClient->ReadRow("a b", aCallback); });
  EXPECT_EQ(row.error().mCode, ErrorCode::Internal);
  EXPECT_EQ(mRequests.back().mPath, "/table/a%20b");
}

// Guards against an unbounded number of pending calls while the platform is
// slow, and against callbacks that run after the client was destroyed.
TEST_F(PlatformClientTest, RefusesCallsAboveTheLimit)
{
  mRespond = [](const HttpRequest&) { return HttpResponse{ .mStatus = 0 }; };
  mClient = std::make_unique<PlatformClient>(
    mLoop,
    mHttp,
    PlatformOptions{ .mAddress = mServer->Address(), .mMaxPending = 1 },
    Random(1));
  mClient->ReadRow("a", [](const auto&) { ADD_FAILURE(); });
  const auto refused = Await<std::string>([&](const auto& aCallback) {
    mClient->GetObject("b", [this, aCallback](Expected<std::string> aResult) {
      mClient.reset();
      aCallback(std::move(aResult));
    });
  });
  EXPECT_EQ(refused.error().mCode, ErrorCode::Refused);
}

} // namespace
} // namespace papayaway
