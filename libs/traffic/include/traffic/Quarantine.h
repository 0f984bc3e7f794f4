#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <base/Millis.h>
#include <wire/Bounds.h>
#include <wire/Facts.h>
#include <wire/Messages.h>

namespace papayaway {

/** What identifies a request that is sent again. */
struct RequestIdentity
{
  std::string_view mService;
  std::string_view mRoute;
  std::string_view mMethod;
  std::string_view mPath;
  std::string_view mQuery;
  /** The idempotency key. If it is given, path, query and body are left out,
   *  as a repetition carries the same key. */
  std::string_view mKey;
  std::string_view mBody;
};

/** @return the fingerprint as 16 hexadecimal digits. */
std::string RequestFingerprint(const RequestIdentity& aIdentity);

/** What to do with a request. Other verdicts than Run are refusals before
 *  the request runs. */
enum class QuarantineVerdict
{
  Run,
  /** Another suspect is in flight here: run it on another node or later, or
   *  a crash could not be attributed to one of them. */
  Apart,
  /** It was in flight at two crashes and those beside it have not run yet:
   *  refused for a few seconds. */
  Hold,
  /** It is quarantined. */
  Refuse,
};

/**
 * Finds the requests that crash targets (section 3.7 of the design page).
 *
 * A request is quarantined when it was in flight at two crashes and all
 * requests beside it have since run without a crash; or when it was in flight
 * at three crashes and no other request was in flight at all three. A crash
 * explained by a quarantined request no longer counts against others.
 *
 * Every node feeds it the crashes and runs of all nodes as far as it learns
 * of them. Missing reports make it slower, not wrong. All times are those of
 * the wall clock, because the facts carry them.
 */
class Quarantine
{
public:
  static constexpr Millis kDuration = Seconds(600);
  static constexpr Millis kHold = Seconds(5);
  static constexpr std::size_t kMaxCrashes = 128;
  /** Larger reports are ignored: they tell nothing of a single request. */
  static constexpr std::size_t kMaxFingerprints = kMaxCrashSuspects;
  static constexpr std::size_t kMaxQuarantined = 1024;

  /** Takes in a crash of the own target or of another node's.
   *  @return new facts to spread, if it proves a request guilty. */
  [[nodiscard]] std::vector<QuarantineFact> OnCrash(const CrashReport& aReport,
                                                    Millis aWallNow);

  /** Takes in that a target answered the request.
   *  @return new facts to spread: it may prove another request guilty. */
  [[nodiscard]] std::vector<QuarantineFact> OnRan(
    const std::string& aFingerprint,
    Millis aWallNow);

  /** Takes in a fact of another node, already merged by Supersedes(). */
  void OnFact(const QuarantineFact& aFact, Millis aWallNow);

  /** Ends a quarantine and forgets the evidence on the request.
   *  @return the fact to spread, or nothing if it is not quarantined. */
  [[nodiscard]] std::optional<QuarantineFact> Release(
    const std::string& aFingerprint,
    Millis aWallNow);

  /** Drops expired evidence and quarantines. To be called every second. */
  void OnTick(Millis aWallNow);

  /** @param aInFlight the fingerprints in flight at the own target. */
  [[nodiscard]] QuarantineVerdict Check(std::string_view aFingerprint,
                                        std::span<const std::string> aInFlight,
                                        Millis aWallNow) const;

  [[nodiscard]] bool IsQuarantined(std::string_view aFingerprint,
                                   Millis aWallNow) const;

  /** @return whether the request was in flight at a crash that is not
   *    explained yet. Other nodes need to learn when it runs. */
  [[nodiscard]] bool IsSuspect(std::string_view aFingerprint) const;

  /** @return the quarantines in force. */
  [[nodiscard]] std::vector<QuarantineFact> Quarantined(Millis aWallNow) const;

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const;
  };

  template<typename Value>
  using ByFingerprint =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  struct Crash
  {
    std::string mId;
    std::string mService;
    Millis mAt;
    /** Those that have not run since, without repetitions. */
    std::vector<std::string> mSuspects;
  };

  struct Suspicion
  {
    /** Crashes with the request among their suspects. */
    int mCrashes = 0;
    Millis mLastCrash;
  };

  void Evaluate(const std::string& aFingerprint,
                Millis aWallNow,
                std::vector<QuarantineFact>& aFacts);
  void Explain(const std::string& aFingerprint);
  void Acquit(Crash& aCrash, const std::string& aFingerprint);
  void Forget(Crash& aCrash);
  void Store(const QuarantineFact& aFact, Millis aWallNow);

  std::deque<Crash> mCrashes;
  ByFingerprint<Suspicion> mSuspects;
  ByFingerprint<QuarantineFact> mFacts;
};

} // namespace papayaway
