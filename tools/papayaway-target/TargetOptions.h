#pragma once

#include <optional>
#include <string>

#include <base/Error.h>
#include <base/Millis.h>

namespace papayaway {

/** How a version of the target is bad. */
enum class TargetFault
{
  None,
  /** Requests fail from mFaultAfter on. */
  Fail,
  /** Requests are slow from mFaultAfter on. */
  Slow,
  /** The share of failing requests rises slowly from mFaultAfter on. */
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
  /** Where the target announces itself, or empty. */
  std::string mNodeAdmin;
  int mSlots = 12;
  int mConnections = 120;
  Millis mWork{ 1 };
  /** The time after the start in which work takes longer. */
  Millis mColdStart;
  TargetFault mFault = TargetFault::None;
  Millis mFaultAfter;
  std::string mFaultRoute;
  /** The share of the requests that a fault concerns. */
  double mFaultRate = 1;
  /** The process exits when a request contains this text; empty: never. */
  std::string mCrashOn;
  /** A connection goes silent after this many requests; 0: never. */
  int mSilenceAfter = 0;
  /** "IP:PORT/path" that is called while Test-Depth is above 0, or empty. */
  std::string mCallNext;
  /** Whether /health and /load always answer healthy and idle. */
  bool mLie = false;
};

/** @return the options of a command line; nothing if only the help text was
 *    asked for, which is then printed. */
Expected<std::optional<TargetOptions>> ParseTargetOptions(
  int aCount,
  const char* const* aArguments);

} // namespace papayaway
