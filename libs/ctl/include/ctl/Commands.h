#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <ctl/AdminClient.h>
#include <ctl/CommandLine.h>

namespace papayaway {

/** What a command works with. */
struct CtlContext
{
  const CtlOptions& mOptions;
  AdminClient& mClient;
  std::ostream& mOut;
  /** Problems and remarks, so that mOut holds results only. */
  std::ostream& mErr;
};

/** Checks a file; findings go to mErr. */
ExitCode RunValidate(CtlContext& aContext);

/** Compares two documents. */
ExitCode RunDiff(CtlContext& aContext);

/** Puts a document in force. A lost reply is resolved by asking again with
 *  the same operation id, a bounded number of times. */
ExitCode RunPromote(CtlContext& aContext);

ExitCode RunStatus(CtlContext& aContext);
ExitCode RunMoves(CtlContext& aContext);
ExitCode RunEndpoints(CtlContext& aContext);
ExitCode RunDocument(CtlContext& aContext);

/** Merges the events of all members. */
ExitCode RunTimeline(CtlContext& aContext);

/** Tells from log files of sidecars why a request got its answer.
 *  @return Failed if the files hold no line of it, Partial if lines of it can't
 *    be read. */
ExitCode RunExplain(CtlContext& aContext);

ExitCode RunDrain(CtlContext& aContext);
ExitCode RunRelease(CtlContext& aContext);

/** Prints the stored records of a customer; gaps go to mErr.
 *  @return Partial if records are missing. */
ExitCode RunExport(CtlContext& aContext);

/**
 * The whole program.
 *
 * @param aArguments the arguments without the program name.
 * @param aDefaultToken the value of PAPAYAWAY_TOKEN, or "".
 */
ExitCode RunCtl(const std::vector<std::string>& aArguments,
                const std::string& aDefaultToken,
                std::ostream& aOut,
                std::ostream& aErr);

} // namespace papayaway
