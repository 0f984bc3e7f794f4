#include <ctl/RequestExplanation.h>

#include <gtest/gtest.h>

namespace papayaway {
namespace {

constexpr std::string_view kShed =
  R"({"time":1000,"node":"a","part":"target","event":"ran","request":"id-1","outcome":"target_shed","status":503})";
constexpr std::string_view kNoSlot =
  R"({"time":1010,"node":"b","part":"target","event":"not_started","request":"id-1","reason":"no_slot_in_time"})";
constexpr std::string_view kAnswered =
  R"({"time":1032,"node":"c","part":"calls","event":"answered","request":"id-1","status":503,"by":"no_room","last":"no_slot_in_time","target_node":"b","targets_reached":1,"refusals":1,"time_ms":32})";

// Guards against lines in the order of the files instead of their time.
TEST(RequestExplanation, SortsLinesOfSeveralNodesByTime)
{
  RequestExplanation explanation("id-1");
  for (const auto line : { kAnswered, kNoSlot, kShed }) {
    EXPECT_TRUE(explanation.AddLine(line));
  }
  const auto lines = explanation.Lines();
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_EQ(lines[0]["event"], "ran");
  EXPECT_EQ(lines[1]["event"], "not_started");
  EXPECT_EQ(lines[2]["event"], "answered");
  EXPECT_EQ(explanation.Cause(),
            "answered 503 after 32 ms, it has not run: the target's queue "
            "could not start it in time (last node b); targets "
            "reached: 1, offers refused: 1");
}

// Guards against including another request whose id contains this one's.
TEST(RequestExplanation, MatchesWholeRequestId)
{
  RequestExplanation explanation("id-1");
  EXPECT_TRUE(explanation.AddLine(
    R"({"time":1,"node":"a","event":"answered","request":"id-12","status":200})"));
  EXPECT_FALSE(explanation.IsFound());
}

// Guards against omitting the event that ended the request, here the stop of
// the target's node, and against including events of nodes that are not
// involved.
TEST(RequestExplanation, IncludesEventsOfInvolvedNodes)
{
  RequestExplanation explanation("id-1");
  ASSERT_TRUE(explanation.AddLine(
    R"({"time":5000,"node":"c","event":"answered","request":"id-1","status":502,"by":"outcome_unknown","last":"link_lost","target_node":"b","time_ms":900})"));
  explanation.AddRelatedEvent(
    R"({"time":4900,"node":"b","part":"node","event":"stopping"})");
  explanation.AddRelatedEvent(
    R"({"time":4990,"node":"c","part":"peers","event":"link_lost","peer":"b"})");
  explanation.AddRelatedEvent(
    R"({"time":4900,"node":"z","part":"node","event":"stopping"})");
  explanation.AddRelatedEvent(
    R"({"time":900,"node":"b","part":"node","event":"started"})");
  explanation.AddRelatedEvent("not a line of a log");
  const auto lines = explanation.Lines();
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_EQ(lines[0]["event"], "stopping");
  EXPECT_EQ(lines[1]["event"], "link_lost");
  EXPECT_FALSE(explanation.MayBeIncomplete());
  EXPECT_NE(explanation.Cause().find("it may have run: the link to the node"),
            std::string::npos)
    << explanation.Cause();
}

// Guards against an explanation that does not say why the target's response was
// lost, which only the log of the node beside the target tells.
TEST(RequestExplanation, SaysWhyTheResponseWasLost)
{
  RequestExplanation explanation("id-1");
  ASSERT_TRUE(explanation.AddLine(
    R"({"time":4990,"node":"b","event":"ran","request":"id-1","outcome":"target_connection_lost","cause":"malformed_response"})"));
  ASSERT_TRUE(explanation.AddLine(
    R"({"time":5000,"node":"c","event":"answered","request":"id-1","status":502,"by":"outcome_unknown","last":"target_connection_lost","target_node":"b","time_ms":900})"));
  EXPECT_TRUE(
    explanation.Cause().ends_with("; a response was lost: malformed_response"))
    << explanation.Cause();
}

// Guards against treating a log with omitted lines as complete.
TEST(RequestExplanation, ReportsOmittedLines)
{
  RequestExplanation explanation("id-1");
  ASSERT_TRUE(explanation.AddLine(kAnswered));
  explanation.AddRelatedEvent(
    R"({"time":1900,"node":"c","part":"log","event":"left_out","events":{"ran":7},"dropped":0})");
  EXPECT_TRUE(explanation.MayBeIncomplete());
}

// Guards against ignoring a truncated line as if it belonged to another
// request.
TEST(RequestExplanation, ReportsUnparsableLine)
{
  RequestExplanation explanation("id-1");
  EXPECT_FALSE(explanation.AddLine(kAnswered.substr(0, 120)));
  EXPECT_FALSE(explanation.IsFound());
}

// Guards against explaining the first response to a request that was retried.
TEST(RequestExplanation, ExplainsTheLastResponse)
{
  RequestExplanation explanation("id-1");
  ASSERT_TRUE(explanation.AddLine(kAnswered));
  ASSERT_TRUE(explanation.AddLine(
    R"({"time":1500,"node":"d","event":"answered","request":"id-1","status":200,"by":"target","target_node":"a","time_ms":21})"));
  EXPECT_EQ(explanation.Cause(),
            "answered 200 after 21 ms: the answer of a target on node a");
}

} // namespace
} // namespace papayaway
