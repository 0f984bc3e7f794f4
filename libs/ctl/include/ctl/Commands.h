#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <ctl/AdminClient.h>
#include <ctl/CommandLine.h>

namespace papayaway {

/** The options, client and output streams of a command. */
struct CtlContext
{
  const CtlOptions& mOptions;
  AdminClient& mClient;
  std::ostream& mOut;
  /** Receives errors and notes, so that mOut contains results only. */
  std::ostream& mErr;
};

/** Validates a document file; prints findings to mErr, or to mOut as JSON. */
ExitCode RunValidate(CtlContext& aContext);

/** Prints the differences between two documents. */
ExitCode RunDiff(CtlContext& aContext);

/** Puts a document in force. While the outcome is unknown, for example after a
 *  lost response, the request is retried with the same operation id a limited
 *  number of times. */
ExitCode RunPromote(CtlContext& aContext);

ExitCode RunStatus(CtlContext& aContext);
ExitCode RunMoves(CtlContext& aContext);
ExitCode RunEndpoints(CtlContext& aContext);
ExitCode RunDocument(CtlContext& aContext);

/** Prints the events of all members in the order of their time.
 *  @return Partial if some members did not respond. */
ExitCode RunTimeline(CtlContext& aContext);

/** Explains from log files of sidecars why a request got its response.
 *  @return Usage if a file can't be opened, Failed if the files contain no line
 *    of the request, Partial if lines with its id can't be parsed. */
ExitCode RunExplain(CtlContext& aContext);

ExitCode RunDrain(CtlContext& aContext);
ExitCode RunRelease(CtlContext& aContext);

/** Prints the stored records of a customer, and missing records to mErr.
 *  @return Partial if records are missing. */
ExitCode RunExport(CtlContext& aContext);

/**
 * Runs papayawayctl.
 *
 * @param aArguments the arguments without the program name.
 * @param aDefaultToken the value of PAPAYAWAY_TOKEN, or "".
 */
ExitCode RunCtl(const std::vector<std::string>& aArguments,
                const std::string& aDefaultToken,
                std::ostream& aOut,
                std::ostream& aErr);

} // namespace papayaway
