#include <ctl/Commands.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <unistd.h>

#include <gtest/gtest.h>

#include "FakeNode.h"

namespace papayaway {
namespace {

using Json = nlohmann::json;

struct RunResult
{
  ExitCode mCode = ExitCode::Done;
  std::string mOut;
  std::string mErr;
};

RunResult
Ctl(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCtl(aArguments, "operator-token-1234", out, err);
  return { code, out.str(), err.str() };
}

std::string
Sample(const std::string& aName)
{
  return std::string(PAPAYAWAY_SOURCE_DIR) + "/samples/" + aName;
}

std::string
DocumentBody(int aVersion, const std::string& aSample)
{
  const RunResult document = Ctl({ "validate", Sample(aSample) });
  EXPECT_EQ(document.mCode, ExitCode::Done) << document.mErr;
  std::ifstream file(Sample(aSample));
  return Json({ { "version", aVersion }, { "document", Json::parse(file) } })
    .dump();
}

RunResult
Promote(const FakeNode& aNode)
{
  return Ctl({ "promote",
               Sample("rafiki-move.json"),
               "--environment",
               "production",
               "--parent",
               "4",
               "--node",
               aNode.Address(),
               "--timeout-ms",
               "300" });
}

std::set<std::string>
OperationIds(FakeNode& aNode)
{
  std::set<std::string> operations;
  for (const HttpRequest& request : aNode.Requests()) {
    operations.insert(Json::parse(request.mBody)["operation"]);
  }
  return operations;
}

TEST(Promote, SendsDocumentParentAndToken)
{
  FakeNode node(
    { { "POST /v1/promote", { JsonResponse(200, R"({"version":5})") } } });
  const RunResult result = Promote(node);
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  EXPECT_EQ(result.mOut, "production has version 5\n");
  const HttpRequest request = node.Requests().at(0);
  EXPECT_EQ(request.mHeaders.Value("Authorization"),
            "Bearer operator-token-1234");
  const Json body = Json::parse(request.mBody);
  EXPECT_EQ(body["environment"], "production");
  EXPECT_EQ(body["parent"], 4);
  EXPECT_EQ(body["document"]["services"][1]["move"]["to"], "v2");
}

// Guards against not determining the outcome after a lost response, and against
// a retry with a new operation id, which could promote twice.
TEST(Promote, RetriesWithSameOperationIdAfterLostResponse)
{
  FakeNode node({ { "POST /v1/promote",
                    { std::nullopt,
                      JsonResponse(503, R"({"outcome":"unknown"})"),
                      JsonResponse(200, R"({"version":5})") } } });
  const RunResult result = Promote(node);
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  EXPECT_EQ(node.Requests().size(), 3U);
  EXPECT_EQ(OperationIds(node).size(), 1U);
}

// Guards against reporting "not-run" for a promotion whose first request may
// have run, and against an unlimited number of retries.
TEST(Promote, OutcomeStaysUnknownAfterLostResponse)
{
  FakeNode node({ { "POST /v1/promote",
                    { JsonResponse(503, R"({"outcome":"unknown"})"),
                      JsonResponse(503, R"({"outcome":"not-run"})") } } });
  const RunResult result = Promote(node);
  EXPECT_EQ(result.mCode, ExitCode::OutcomeUnknown);
  EXPECT_EQ(node.Requests().size(), 6U);
  EXPECT_EQ(OperationIds(node).size(), 1U);
  EXPECT_NE(result.mErr.find(*OperationIds(node).begin()), std::string::npos);
}

TEST(Promote, NotRunFailsWithoutRetry)
{
  HttpResponse refusal = JsonResponse(503, "{}");
  refusal.mHeaders.Add("Papayaway-Outcome", "not-run");
  FakeNode node({ { "POST /v1/promote", { refusal } } });
  EXPECT_EQ(Promote(node).mCode, ExitCode::Failed);
  EXPECT_EQ(node.Requests().size(), 1U);
}

// Guards against reporting a lost race without the changes of the other
// operator.
TEST(Promote, LostRaceShowsVersionInForceAndChanges)
{
  FakeNode node({ { "POST /v1/promote",
                    { JsonResponse(409, DocumentBody(6, "rafiki.json")) } } });
  const RunResult result = Promote(node);
  EXPECT_EQ(result.mCode, ExitCode::LostRace);
  EXPECT_NE(result.mOut.find("has version 6, not the parent 4"),
            std::string::npos);
  EXPECT_NE(result.mOut.find("added services[hammer].move"), std::string::npos);
}

TEST(Promote, PrintsFindingsOfNode)
{
  FakeNode node(
    { { "POST /v1/promote",
        { JsonResponse(
          422,
          R"({"findings":[{"path":"/routes/0","message":"refused"}]})") } } });
  const RunResult result = Promote(node);
  EXPECT_EQ(result.mCode, ExitCode::Usage);
  EXPECT_NE(result.mErr.find("/routes/0: refused"), std::string::npos);
}

// Guards against a promotion from trial that replaces another version of
// production than the one just fetched.
TEST(Promote, FromTrialUsesVersionOfProductionAsParent)
{
  FakeNode node(
    { { "GET /v1/document",
        { JsonResponse(200, DocumentBody(9, "rafiki.json")) } },
      { "POST /v1/promote", { JsonResponse(200, R"({"version":10})") } } });
  const RunResult result =
    Ctl({ "promote", "--from", "trial", "--node", node.Address() });
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  const auto requests = node.Requests();
  ASSERT_EQ(requests.size(), 3U);
  EXPECT_EQ(requests[0].QueryValue("environment"), "trial");
  EXPECT_EQ(requests[1].QueryValue("environment"), "production");
  EXPECT_EQ(Json::parse(requests[2].mBody)["parent"], 9);
  EXPECT_EQ(Json::parse(requests[2].mBody)["environment"], "production");
}

// Guards against sending an invalid document to a node.
TEST(FileCommands, InvalidFileIsRejectedWithoutCall)
{
  FakeNode node({});
  const RunResult validate = Ctl({ "validate", Sample("faulty.json") });
  EXPECT_EQ(validate.mCode, ExitCode::Usage);
  EXPECT_NE(validate.mErr.find("faulty.json:14: /services/0/move/to: "),
            std::string::npos);
  const RunResult promote = Ctl({ "promote",
                                  Sample("faulty.json"),
                                  "--environment",
                                  "trial",
                                  "--parent",
                                  "0",
                                  "--node",
                                  node.Address() });
  EXPECT_EQ(promote.mCode, ExitCode::Usage);
  EXPECT_TRUE(node.Requests().empty());
  EXPECT_EQ(Ctl({ "validate", Sample("absent.json") }).mCode, ExitCode::Failed);
}

TEST(FileCommands, ComparesWithDocumentInForce)
{
  FakeNode node({ { "GET /v1/document",
                    { JsonResponse(200, DocumentBody(1, "rafiki.json")) } } });
  const RunResult result = Ctl({ "diff",
                                 "@production",
                                 Sample("rafiki-move.json"),
                                 "--json",
                                 "--node",
                                 node.Address() });
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  EXPECT_EQ(Json::parse(result.mOut)["changes"].size(), 2U);
}

// Guards against events in the order of arrival, a missing member that is not
// reported, and terminal escape sequences from a node.
TEST(Timeline, SortsByTimeAndReportsMissingNodes)
{
  FakeNode second({ { "GET /v1/timeline", { JsonResponse(200, R"({"node":"b",
    "events":[{"physical_ms":1000,"counter":1,"node":"b","text":"second"},
      {"physical_ms":1500,"node":"b","service":"ledger","text":"\u001b[2J"}]})") } } });
  const Json status = {
    { "node", "a" },
    { "members",
      { { { "node", "a" }, { "state", "alive" }, { "admin", "127.0.0.1:1" } },
        { { "node", "b" },
          { "state", "alive" },
          { "admin", second.Address() } },
        { { "node", "c" }, { "state", "dead" }, { "admin", "127.0.0.1:1" } },
        { { "node", "d" }, { "state", "left" }, { "admin", "127.0.0.1:1" } } } }
  };
  FakeNode first({ { "GET /v1/status", { JsonResponse(200, status.dump()) } },
                   { "GET /v1/timeline", { JsonResponse(200, R"({"node":"a",
    "events":[{"physical_ms":2000,"counter":0,"node":"a","text":"fourth"},
      {"physical_ms":1000,"counter":0,"node":"a","text":"first"}]})") } } });
  const RunResult result = Ctl({ "timeline", "--node", first.Address() });
  EXPECT_EQ(result.mCode, ExitCode::Partial);
  EXPECT_EQ(result.mErr, "node c could not be asked\n");
  EXPECT_LT(result.mOut.find("first"), result.mOut.find("second"));
  EXPECT_LT(result.mOut.find("second"), result.mOut.find("fourth"));
  EXPECT_EQ(result.mOut.find('\x1b'), std::string::npos);
  const RunResult filtered = Ctl(
    { "timeline", "--node", first.Address(), "--service", "ledger", "--json" });
  EXPECT_EQ(Json::parse(filtered.mOut)["events"].size(), 1U);
  const RunResult byNode =
    Ctl({ "timeline", "--node", first.Address(), "--node", "a", "--json" });
  EXPECT_EQ(Json::parse(byNode.mOut)["events"].size(), 2U);
}

TEST(Reports, FallsBackToSecondNode)
{
  FakeNode node({ { "GET /v1/moves", { JsonResponse(200, R"({"moves":[
    {"service":"hammer","to":"v2","state":"taken-back","share":50,
     "started_ms":1000,"reason":"errors on POST /bids"}]})") } } });
  const RunResult result =
    Ctl({ "moves", "--node", "127.0.0.1:1", "--node", node.Address() });
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  EXPECT_NE(result.mOut.find("taken-back"), std::string::npos);
  EXPECT_NE(result.mOut.find("1970-01-01 00:00:01.000"), std::string::npos);
}

// Guards against a crash on a response with an unexpected structure.
TEST(Reports, MalformedResponsesDoNotCrash)
{
  for (const char* body :
       { "", "[]", "nonsense", "{}", R"({"members":[1],"relay":7,"document":3,
          "moves":{"a":1},"endpoints":"x","events":[[]],"version":"y"})" }) {
    const FakeNode::Responses responses = { JsonResponse(200, body) };
    FakeNode node({ { "GET /v1/status", responses },
                    { "GET /v1/moves", responses },
                    { "GET /v1/endpoints", responses },
                    { "GET /v1/timeline", responses },
                    { "GET /v1/document", responses },
                    { "POST /v1/promote", responses } });
    for (const char* command :
         { "status", "moves", "endpoints", "timeline", "document" }) {
      const ExitCode code = Ctl({ command, "--node", node.Address() }).mCode;
      EXPECT_EQ(code == ExitCode::Done, body[0] == '{') << command << body;
    }
    EXPECT_EQ(Promote(node).mCode, ExitCode::Done);
    EXPECT_EQ(
      Ctl({ "diff", "@trial", "@production", "--node", node.Address() }).mCode,
      ExitCode::Failed);
  }
}

TEST(TargetCommands, ExitCodesOfDrainAndRelease)
{
  FakeNode node(
    { { "POST /v1/drain", { JsonResponse(200, "{}") } },
      { "POST /v1/release", { JsonResponse(403, "{}"), std::nullopt } } });
  EXPECT_EQ(Ctl({ "drain", "--node", node.Address() }).mCode, ExitCode::Done);
  const std::vector<std::string> release = { "release",      "0123abcd",
                                             "--node",       node.Address(),
                                             "--timeout-ms", "200" };
  EXPECT_EQ(Ctl(release).mCode, ExitCode::Failed);
  EXPECT_EQ(Ctl(release).mCode, ExitCode::OutcomeUnknown);
  EXPECT_EQ(node.Requests().at(1).mBody, R"({"fingerprint":"0123abcd"})");
}

// Guards against reporting an export with gaps as complete.
TEST(ExportCommand, ReportsGapsAndReturnsPartial)
{
  FakeNode node(
    { { "GET /v1/export",
        { JsonResponse(200,
                       R"({"complete":false,"incarnations":[{"node":"n",
"incarnation":5,"gaps":[{"first":2,"last":3,"dropped":true},
{"first":7,"last":7,"dropped":false}],"lines":"{\"sequence\":1}\n"}],
"findings":[]})"),
          JsonResponse(200, R"({"complete":true,"incarnations":[]})"),
          JsonResponse(503, "{}") } } });
  const std::vector<std::string> command = {
    "export", "a b", "--node", node.Address()
  };
  const RunResult partial = Ctl(command);
  EXPECT_EQ(partial.mCode, ExitCode::Partial);
  EXPECT_EQ(partial.mOut, "{\"sequence\":1}\n");
  EXPECT_EQ(partial.mErr,
            "node n, incarnation 5: records 2 to 3 were dropped for lack of "
            "memory\nnode n, incarnation 5: records 7 to 7 are missing\n");
  EXPECT_EQ(node.Requests().at(0).QueryValue("customer"), "a b");
  EXPECT_EQ(Ctl(command).mCode, ExitCode::Done);
  EXPECT_EQ(Ctl(command).mCode, ExitCode::Failed);
}

/** A temporary log file, which the destructor removes. */
class LogFile
{
public:
  LogFile(const std::string& aName, const std::string& aText)
    : mPath(testing::TempDir() + aName + "-" + std::to_string(getpid()))
  {
    std::ofstream(mPath) << aText;
  }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;
  ~LogFile() { std::filesystem::remove(mPath); }
  [[nodiscard]] const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

TEST(Explain, MergesLogsOfAllNodes)
{
  const LogFile one(
    "one.log",
    R"({"time":1000,"node":"a","data_centre":"x","part":"calls","event":"answered","request":"id-1","status":504,"by":"deadline","target_node":"b","time_ms":900,"targets_reached":0,"refusals":0})"
    "\n");
  const LogFile two(
    "two.log",
    R"({"time":900,"node":"b","data_centre":"x","part":"node","event":"stopping"})"
    "\n");
  const RunResult result = Ctl({ "explain", "id-1", one.Path(), two.Path() });
  EXPECT_EQ(result.mCode, ExitCode::Done) << result.mErr;
  EXPECT_EQ(result.mOut,
            "1970-01-01 00:00:00.900 b node stopping\n"
            "1970-01-01 00:00:01.000 a calls answered by=deadline refusals=0 "
            "status=504 target_node=b targets_reached=0 time_ms=900\n"
            "cause: answered 504 after 900 ms: no answer came before its "
            "deadline; targets reached: 0, offers refused: 0\n");
}

// Guards against reporting success if the logs contain no line of the request
// or can't be read.
TEST(Explain, ReportsUnknownRequestAndUnreadableFile)
{
  const LogFile log("empty.log", "{}\n");
  EXPECT_EQ(Ctl({ "explain", "id-1", log.Path() }).mCode, ExitCode::Failed);
  EXPECT_EQ(Ctl({ "explain", "id-1", "/nowhere/at/all" }).mCode,
            ExitCode::Usage);
}

TEST(CommandLine, ReportsInvalidUsage)
{
  const std::vector<std::vector<std::string>> wrong = {
    {},
    { "unknown" },
    { "status" },
    { "status", "extra", "--node", "127.0.0.1:1" },
    { "status", "--node", "nowhere" },
    { "status", "--node", "127.0.0.1:1", "--time", "5" },
    { "status", "--node", "127.0.0.1:1", "--timeout-ms", "0" },
    { "validate" },
    { "promote", "file", "--node", "127.0.0.1:1" },
    { "promote", "file", "--from", "trial", "--node", "127.0.0.1:1" },
    { "promote", "--from", "production", "--node", "127.0.0.1:1" },
    { "drain", "--node", "127.0.0.1:1", "--node", "127.0.0.1:2" },
    { "export", "--node", "127.0.0.1:1" },
    { "explain" },
    { "explain", "id-1" },
    { "diff", "@other", "@trial", "--node", "127.0.0.1:1" },
  };
  for (const auto& arguments : wrong) {
    const RunResult result = Ctl(arguments);
    EXPECT_EQ(result.mCode, ExitCode::Usage);
    EXPECT_FALSE(result.mErr.empty());
  }
  EXPECT_EQ(Ctl({ "--help" }).mCode, ExitCode::Done);
  EXPECT_EQ(Ctl({ "--version" }).mOut.substr(0, 13), "papayawayctl ");
}

} // namespace
} // namespace papayaway
