#pragma once

#include <optional>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>

namespace papayaway {

/** The fault of a faulty version that the target simulates. */
enum class TargetFault
{
  None,
  /** Requests fail once mFaultAfter has passed since the start. */
  Fail,
  /** Requests are slow once mFaultAfter has passed since the start. */
  Slow,
  /** The fraction of failing requests rises linearly over 10 s once mFaultAfter
   *  has passed since the start. */
  LateFail,
  /** Requests fail while more than half of the slots are in use. */
  LoadFail,
  /** Requests to one path prefix fail. */
  RouteFail,
};

struct TargetOptions
{
  std::string mListen = "127.0.0.1:0";
  std::string mService = "service";
  std::string mVersion = "v1";
  /** "IPv4:port" of the node that the target announces itself to; empty: the
   *  target does not announce itself. */
  std::string mNodeAdmin;
  int mSlots = 12;
  int mConnections = 120;
  Millis mMeanWorkTime{ 1 };
  /** The time after the start during which requests take longer. */
  Millis mColdStart;
  TargetFault mFault = TargetFault::None;
  Millis mFaultAfter;
  std::string mFaultRoute;
  /** The fraction of the requests that the fault affects, from 0 to 1. */
  double mFaultRate = 1;
  /** The process exits when the path, query, body or idempotency key of a
   *  request contains this text; empty: never. */
  std::string mCrashOn;
  /** The number of requests on one connection after which the target answers
   *  no further requests on it; 0: no limit. */
  int mSilenceAfter = 0;
  /** "IPv4:port/path" of the next target of a chain, which is called if the
   *  Test-Depth header of a request is above 0; empty: no call. */
  std::string mCallNext;
  /** Whether /health and /load always report a healthy and idle target. */
  bool mAlwaysReportsIdle = false;
};

/** Parses the command line. Prints the help text if it contains --help.
 *  @return the options, or nothing if the help text was printed. */
Expected<std::optional<TargetOptions>> ParseTargetOptions(
  int aCount,
  const char* const* aArguments);

} // namespace papayaway
