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

/** The parts of a request by which its repetitions are recognized. */
struct RequestIdentity
{
  std::string_view mService;
  std::string_view mRoute;
  std::string_view mMethod;
  std::string_view mPath;
  std::string_view mQuery;
  /** The idempotency key. If it is given, method, path, query and body are
   *  left out, because a repetition carries the same key. */
  std::string_view mKey;
  std::string_view mBody;
};

/** @return a hash of aIdentity as 16 hexadecimal digits. */
std::string RequestFingerprint(const RequestIdentity& aIdentity);

/** What is known of a crash that is not explained by a quarantine yet. */
struct CrashEvidence
{
  std::string mId;
  std::string mService;
  /** When the crash was reported, by the wall clock. */
  Millis mReportedAt;
  /** The requests that were in flight and have not run since, each once. */
  std::vector<std::string> mSuspects;

  bool operator==(const CrashEvidence&) const = default;
};

/** What to do with a request. With every decision other than Run it is
 *  refused before it runs. */
enum class QuarantineDecision
{
  Run,
  /** The request and another one in flight here are suspects. It must run on
   *  another node or later, because a crash could not be attributed to one of
   *  two suspects. */
  Isolate,
  /** The request was in flight at two crashes, and the other suspects have not
   *  all run since. It is refused until kDeferDuration after the last crash,
   *  so that they run first. */
  Defer,
  /** The request is quarantined. */
  Refuse,
};

/**
 * Identifies and quarantines the requests that crash targets (section 3.7 of
 * the design page).
 *
 * All requests in flight at a crash are suspects of that crash until a target
 * has answered them. A request is quarantined if it was in flight at two
 * crashes and all other suspects of both have since run, or if it was in flight
 * at three crashes and no other request is a suspect of all three. A crash with
 * a quarantined request among its suspects is explained and no longer counts
 * against the others.
 *
 * Every node records the crashes and runs of all nodes as far as it learns of
 * them. Lost reports delay a quarantine, but do not lead to a wrong one. All
 * times are wall-clock times, because the facts exchanged between nodes carry
 * them.
 */
class Quarantine
{
public:
  /** The duration of a quarantine, and how long a crash counts. */
  static constexpr Millis kDuration = Seconds(600);
  static constexpr Millis kDeferDuration = Seconds(5);
  static constexpr std::size_t kMaxCrashes = 128;
  /** Reports with more requests are ignored, because they say too little about
   *  a single one. */
  static constexpr std::size_t kMaxFingerprints = kMaxCrashSuspects;
  static constexpr std::size_t kMaxQuarantined = 1024;

  /** Records a crash of this node's target or of another node's.
   *  @return new facts to broadcast, for the requests that this crash puts into
   *    quarantine. */
  [[nodiscard]] std::vector<QuarantineFact> OnCrash(const CrashReport& aReport,
                                                    Millis aWallNow);

  /** Records that a target answered the request, which ends the suspicion
   *  against it.
   *  @return new facts to broadcast: another request may now be the only
   *    suspect left and be quarantined. */
  [[nodiscard]] std::vector<QuarantineFact> OnRan(
    const std::string& aFingerprint,
    Millis aWallNow);

  /** Applies a fact of another node, unless a fact with a higher sequence
   *  number is known about the same request. */
  void OnFact(const QuarantineFact& aFact, Millis aWallNow);

  /** Ends the quarantine of a request. Earlier crashes no longer count against
   *  it.
   *  @return the fact to broadcast, or nothing if the request is not
   *    quarantined. */
  [[nodiscard]] std::optional<QuarantineFact> Release(
    const std::string& aFingerprint,
    Millis aWallNow);

  /** Drops expired crashes and quarantines. Must be called every second. */
  void OnTick(Millis aWallNow);

  /** @param aInFlight the fingerprints in flight at this node's target.
   *  @return what to do with the request aFingerprint. */
  [[nodiscard]] QuarantineDecision Check(std::string_view aFingerprint,
                                         std::span<const std::string> aInFlight,
                                         Millis aWallNow) const;

  [[nodiscard]] bool IsQuarantined(std::string_view aFingerprint,
                                   Millis aWallNow) const;

  /** @return whether the request is a suspect of a crash that is not explained
   *    yet. If it runs, the other nodes must be told. */
  [[nodiscard]] bool IsSuspect(std::string_view aFingerprint) const;

  /** @return the crashes that have suspects left, in the order of their
   *    reports. */
  [[nodiscard]] std::vector<CrashEvidence> Crashes() const;

  /** @return the facts of all quarantines in force. */
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

  struct SuspectState
  {
    /** The number of crashes with the request among their suspects. */
    int mCrashes = 0;
    Millis mLastCrash;
  };

  /** Quarantines the request and adds the fact to aFacts if the known crashes
   *  show that the request causes them. */
  void Evaluate(const std::string& aFingerprint,
                Millis aWallNow,
                std::vector<QuarantineFact>& aFacts);
  void ClearExplainedCrashes(const std::string& aFingerprint);
  void RemoveSuspect(CrashEvidence& aCrash, const std::string& aFingerprint);
  void ClearSuspects(CrashEvidence& aCrash);
  void Store(const QuarantineFact& aFact, Millis aWallNow);

  std::deque<CrashEvidence> mCrashes;
  ByFingerprint<SuspectState> mSuspects;
  ByFingerprint<QuarantineFact> mFacts;
};

} // namespace papayaway
