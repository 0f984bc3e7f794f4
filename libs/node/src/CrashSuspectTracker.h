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
 * A crash is detected by a refused connection, by silence or by a new process,
 * some time after the connections of the crashed process broke. Requests that
 * ended without an answer are therefore kept for kRetention, or for kWindow if
 * the target answers a later request.
 */
class CrashSuspectTracker
{
public:
  using CallId = std::uint64_t;

  /** How long a call that ended without an answer counts as evidence although
   *  the target answers later calls: those may have been answered by the next
   *  process before it announced itself. */
  static constexpr Millis kWindow = Seconds(10);
  /** How long it counts if the target has answered no later call. */
  static constexpr Millis kRetention = Seconds(30);
  /** Bounds the requests with a broken connection that are kept. A crash with
   *  more suspects is hardly evidence against any one of them and is not
   *  reported. */
  static constexpr std::size_t kMaxBroken = 128;

  void OnSent(CallId aCall, std::string aFingerprint, Millis aNow);

  /** Handles a call that ended without evidence of a crash. */
  void OnEnded(CallId aCall);

  /** Handles a call that the target answered. The target has survived the calls
   *  that broke before it was sent, unless it was replaced meanwhile. */
  void OnAnswered(CallId aCall);

  /** Handles a call that was sent and ended without an answer: its connection
   *  broke, or it was cancelled. */
  void OnBroken(CallId aCall, Millis aNow);

  /** @return whether a call is kept that ended without an answer. */
  [[nodiscard]] bool HasBroken() const { return !mBroken.empty(); }

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
    /** Whether the target has answered a call that was sent after this one
     *  broke. */
    bool mSurvived = false;
  };

  /** Removes broken calls that no longer count. */
  void Expire(Millis aNow);

  std::map<CallId, SentCall> mSent;
  /** Requests by the time their connection broke. */
  std::deque<SentCall> mBroken;
};

} // namespace papayaway
