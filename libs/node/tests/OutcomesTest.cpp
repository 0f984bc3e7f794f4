#include <gtest/gtest.h>

#include "Outcomes.h"

namespace papayaway {
namespace {

// Guards against a concurrency limit that is derived from fast failures instead
// of answered calls.
TEST(Outcomes, OnlyAnsweredCallsCountForLatency)
{
  EXPECT_EQ(EndOf({ .mStatus = 200, .mOutcome = Outcome::Ran }),
            CallEnd::Answered);
  EXPECT_EQ(EndOf({ .mStatus = 404, .mOutcome = Outcome::Ran }),
            CallEnd::Answered);
  EXPECT_EQ(EndOf({ .mStatus = 500, .mOutcome = Outcome::Ran }),
            CallEnd::Other);
  EXPECT_EQ(EndOf(NotRunReply(503, "")), CallEnd::Other);
  EXPECT_EQ(EndOf(UnknownReply(502, "")), CallEnd::Other);
  EXPECT_EQ(EndOf(UnknownReply(504, "")), CallEnd::TimedOut);
}

// Guards against answering "not-run" to a request that may have reached the
// target, because the caller would then retry it.
TEST(Outcomes, NotRunOnlyIfNothingWasSent)
{
  for (const HttpFailure failure : { HttpFailure::NotConnected,
                                     HttpFailure::Timeout,
                                     HttpFailure::ConnectionLost,
                                     HttpFailure::Malformed,
                                     HttpFailure::TooLarge,
                                     HttpFailure::Cancelled }) {
    EXPECT_EQ(ReplyOf({ .mFailure = failure, .mMayHaveRun = true }).mOutcome,
              Outcome::Unknown);
    EXPECT_EQ(ReplyOf({ .mFailure = failure, .mMayHaveRun = false }).mOutcome,
              Outcome::NotRun);
  }
}

} // namespace
} // namespace papayaway
