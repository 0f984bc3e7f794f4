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
 * Collects which requests may have crashed the target of this host.
 *
 * When the crash is noticed, by a refused connection or by a new process, the
 * connections broke some time before. So requests whose connection broke are
 * kept for a while.
 */
class CrashWatch
{
public:
  using CallId = std::uint64_t;

  /** A restart that is noticed later is not related to the broken connection.
   *  Covers the silence of 2 s after which a target is gone and the start of
   *  the next process. */
  static constexpr Millis kWindow = Seconds(10);
  /** Larger crash reports tell nothing of a single request. */
  static constexpr std::size_t kMaxBroken = 128;

  void OnSent(CallId aCall, std::string aFingerprint, Millis aNow);

  /** The call ended in a way that says nothing of a crash. */
  void OnEnded(CallId aCall);

  /** The connection of the call broke before the answer. */
  void OnBroken(CallId aCall, Millis aNow);

  /** The target crashed.
   *  @return the fingerprints that were in flight, each once. Calls sent after
   *    the first connection broke are left out. */
  [[nodiscard]] std::vector<std::string> TakeCrashed(Millis aNow);

  /** @return the fingerprints in flight. */
  [[nodiscard]] std::vector<std::string> InFlight() const;

private:
  struct Sent
  {
    std::string mFingerprint;
    Millis mAt;
  };

  std::map<CallId, Sent> mSent;
  /** Requests by the time their connection broke. */
  std::deque<Sent> mBroken;
};

} // namespace papayaway
