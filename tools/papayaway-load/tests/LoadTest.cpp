#include <gtest/gtest.h>

#include "LatencyHistogram.h"
#include "LoadReport.h"

namespace papayaway {
namespace {

// Guards against quantiles that are off by more than the bucket width.
TEST(LatencyHistogram, QuantilesAreWithinOnePercent)
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Add({ i / 100. });
  }
  EXPECT_NEAR(histogram.Quantile(0.5).mCount, 500, 5);
  EXPECT_NEAR(histogram.Quantile(0.99).mCount, 990, 10);
  EXPECT_NEAR(histogram.Quantile(0.001).mCount, 1, 0.01);
  EXPECT_EQ(histogram.Quantile(1).mCount, 1000);
  histogram.Add(Seconds(100'000));
  EXPECT_EQ(histogram.Max(), Seconds(100'000));
}

// Guards against gaps between buckets and bounds that do not increase.
TEST(LatencyHistogram, UpperBoundIsCloseAboveDuration)
{
  for (int micros = 1; micros < 5'000'000; micros += 1 + micros / 300) {
    LatencyHistogram histogram;
    histogram.Add({ micros / 1000. });
    histogram.Add(Seconds(10));
    const double bound = histogram.Quantile(0.5).mCount * 1000;
    EXPECT_GE(bound, micros);
    EXPECT_LE(bound, micros * 1.008 + 1);
  }
}

// Guards against accepting the response to another request as correct.
TEST(LoadReport, ResponseMustMatchPathKeyAndBody)
{
  const HttpRequest request{ .mPath = "/a",
                             .mHeaders = { { "Idempotency-Key", "k" } },
                             .mBody = "b" };
  EXPECT_TRUE(IsResponseTo(request, R"({"path":"/a","key":"k","echo":"b"})"));
  EXPECT_FALSE(IsResponseTo(request, R"({"path":"/a","key":"k","echo":"c"})"));
  EXPECT_FALSE(IsResponseTo(request, R"({"path":"/c","key":"k","echo":"b"})"));
  EXPECT_FALSE(IsResponseTo(request, R"({"path":"/a","key":"j","echo":"b"})"));
  EXPECT_FALSE(IsResponseTo(request, R"({"path":"/a","key":"k","echo")"));
}

// Guards against including refused and failed calls, which are often faster,
// in the latency of successful calls.
TEST(LoadReport, CountsByStatusOutcomeAndVersion)
{
  LoadReport report;
  HttpResult result;
  result.mResponse.mHeaders = { { "Papayaway-Outcome", "ran" },
                                { "Target-Version", "v2" } };
  report.CountResult(result, { 10 }, false);
  result.mResponse.mStatus = 503;
  result.mResponse.mHeaders = { { "Papayaway-Outcome", "not-run" } };
  report.CountResult(result, { 1 }, false);
  report.CountResult({ .mFailure = HttpFailure::Timeout }, { 50 }, false);
  const nlohmann::json json = report.ToJson();
  EXPECT_EQ(json.at("status"),
            nlohmann::json::parse(R"({"200":1,"503":1,"timeout":1})"));
  EXPECT_EQ(json.at("outcome"),
            nlohmann::json::parse(R"({"none":1,"not-run":1,"ran":1})"));
  EXPECT_EQ(json.at("version").at("v2"), 1);
  EXPECT_EQ(json.at("latency_ms").at("count"), 1);
  EXPECT_EQ(json.at("latency_ms").at("p50"), 10);
  EXPECT_EQ(json.at("latency_all_ms").at("max"), 50);
}

} // namespace
} // namespace papayaway
