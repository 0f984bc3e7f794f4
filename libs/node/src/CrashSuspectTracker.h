#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace papayaway {

/**
 * Tracks which requests may have crashed the target of this host.
 *
 * A crash is detected by a refused connection or by a new process, some time
 * after the connections of the crashed process broke. Requests whose connection
 * broke are therefore kept for kWindow.
 */
class CrashSuspectTracker
{
public:
  using CallId = std::uint64_t;

  /** How long a broken connection counts as evidence for a crash. Covers the
   *  2 s of silence after which a target is considered gone and the start of
   *  the next process. */
  static constexpr Millis kWindow = Seconds(10);
  /** Bounds the requests with a broken connection that are kept. A crash with
   *  more suspects is hardly evidence against any one of them and is not
   *  reported. */
  static constexpr std::size_t kMaxBroken = 128;

  void OnSent(CallId aCall, std::string aFingerprint, Millis aNow);

  /** Handles a call that ended without evidence of a crash. */
  void OnEnded(CallId aCall);

  /** Handles a call whose connection broke before it was answered. */
  void OnBroken(CallId aCall, Millis aNow);

  /** Handles a crash of the target.
   *  @return the fingerprints of the requests that were in flight, without
   *    duplicates. Calls sent after the first connection broke are left out. */
  [[nodiscard]] std::vector<std::string> TakeSuspects(Millis aNow);

  /** @return the fingerprints of the requests in flight. */
  [[nodiscard]] std::vector<std::string> InFlight() const;

private:
  struct SentCall
  {
    std::string mFingerprint;
    /** The time when the call was sent or, in mBroken, when its connection
     *  broke. */
    Millis mTime;
  };

  std::map<CallId, SentCall> mSent;
  /** Requests by the time their connection broke. */
  std::deque<SentCall> mBroken;
};

} // namespace papayaway
