#include <fstream>
#include <optional>

#include <lab/ScriptedServer.h>

#include "ClusterTest.h"
#include "RawTarget.h"

namespace papayaway {
namespace {

using Ending = ScriptedResponse::Ending;

constexpr Millis kAnnouncementPeriod{ 500 };

/** A cluster with one target of the service "hammer", whose responses are
 *  scripted. The parameter is the node that the caller uses. */
class BrokenResponse
  : public ClusterTest
  , public testing::WithParamInterface<const char*>
{
protected:
  void SetUp() override
  {
    std::vector<NodePlan> plans = PlansInTwoDataCentres(2, 0);
    plans.push_back(
      { .mName = "raw", .mDataCentre = "nbo-1", .mRegion = "nairobi" });
    ASSERT_NO_FATAL_FAILURE(
      StartCluster(plans, SampleWithLongDeadlines("rafiki.json")));
    mServer.emplace(mCluster.Loop(),
                    [this](const std::string&) { return mResponse; });
    mAnnouncements.emplace(mCluster.Loop(), [this] {
      AnnounceTarget(mCluster, "raw", "hammer", mServer->Address());
    });
    mAnnouncements->StartRepeating(kAnnouncementPeriod);
    ASSERT_TRUE(WaitForReady(mCluster.NodeNames(), 3));
  }

  /** Sends requests that get these responses, and checks that each caller gets
   *  an error that promises nothing and no byte of the target. */
  void ExpectErrors(const std::vector<ScriptedResponse>& aResponses,
                    std::size_t aBodySize = 10)
  {
    std::string passedOn;
    for (const ScriptedResponse& response : aResponses) {
      mResponse = response;
      const int requests = mServer->Requests();
      const std::string key = "key-" + std::to_string(mNextKey++);
      const HttpResult result = mCluster.CallThrough(
        GetParam(),
        { .mMethod = "POST",
          .mPath = "/bids/lot-7",
          .mHeaders = { { "Idempotency-Key", key }, { "X-Request-Id", key } },
          .mBody = std::string(aBodySize, 'u') },
        kLongTimeout);
      if (result.mFailure != HttpFailure::None ||
          result.mResponse.mStatus != 502 || OutcomeOf(result) != "unknown" ||
          result.mResponse.mBody.find("part") != std::string::npos) {
        passedOn += std::to_string(result.mResponse.mStatus) + " " +
                    result.mError + " to " + response.mBytes.substr(0, 60) +
                    "\n";
      }
      EXPECT_EQ(mServer->Requests(), requests + 1);
    }
    EXPECT_EQ(passedOn, "") << "of " << aResponses.size();
    EXPECT_TRUE(mCluster.NodeProcess("raw").IsRunning());
    EXPECT_NE(LogLine("key-0"), "");
  }

  /** @return the first line of the log of the target's node with the text. */
  std::string LogLine(const std::string& aText)
  {
    std::ifstream file(mCluster.Options().mWorkFolder + "/raw.log");
    std::string line;
    while (std::getline(file, line)) {
      if (line.find("no response to request " + aText) != std::string::npos) {
        return line;
      }
    }
    return {};
  }

  ScriptedResponse mResponse;
  std::optional<ScriptedServer> mServer;
  std::optional<Timer> mAnnouncements;
  int mNextKey = 0;
};

// Guards against a part of a response that is taken for the whole. A request of
// papayaway-node is at most 1 MiB long.
TEST_P(BrokenResponse, ResetIsNoEndOfTheResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const double timeToReset : { 0., 5., 50. }) {
    for (const bool readsBody : { false, true }) {
      responses.push_back({ "HTTP/1.1 200 OK\r\n\r\npart",
                            Ending::Reset,
                            Millis{ timeToReset },
                            readsBody });
    }
  }
  ExpectErrors(responses, std::size_t{ 1 } << 20);
}

// Guards against passing on a response whose status is no status code.
TEST_P(BrokenResponse, StatusBelow100IsNoResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const char* const status : { "000", "099" }) {
    const std::string start = std::string("HTTP/1.1 ") + status + " None\r\n";
    responses.push_back({ start + "Content-Length: 4\r\n\r\npart" });
    responses.push_back(
      { start + "Papayaway-Outcome: not-run\r\n\r\npart", Ending::Close });
  }
  ExpectErrors(responses);
}

// Guards against passing on a header line whose field name can't be read, or
// the body of a response whose length such a line hides.
TEST_P(BrokenResponse, FieldNameWithBlankOrControlByteIsNoResponse)
{
  std::vector<ScriptedResponse> responses;
  for (const std::string& line :
       { std::string("X Bad: v"),
         std::string("X-Bad : v"),
         std::string(" X-Bad: v"),
         std::string("X\x01"
                     "Bad: v"),
         std::string("Papayaway-Outcome : not-run") }) {
    responses.push_back(
      { "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\npart" });
    responses.push_back(
      { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\npart" });
  }
  responses.push_back(
    { "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npart and more",
      Ending::Close });
  ExpectErrors(responses);
}

INSTANTIATE_TEST_SUITE_P(Paths,
                         BrokenResponse,
                         testing::Values("raw", "ledger-1"),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param) == "raw" ? "Local"
                                                                    : "Link";
                         });

} // namespace
} // namespace papayaway
