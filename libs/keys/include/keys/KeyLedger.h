#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <base/Millis.h>
#include <wire/Messages.h>

namespace papayaway {

/** The number of hash slots into which the idempotency keys of a service are
 *  divided. Each slot has one owner. */
constexpr int kKeySlots = 16;

/** @return the slot of aKey. It is the same on every host. */
int KeySlot(std::string_view aKey);

/** @return a hash, never 0, that shows whether a key is reused for a different
 *    request. */
std::uint64_t RequestHash(std::string_view aMethod,
                          std::string_view aPath,
                          std::string_view aBody);

/** The response to the first run of a key, replayed to retries of the request.
 */
struct RecordedResponse
{
  int mStatus = 0;
  HeaderList mHeaders;
  std::string mBody;

  bool operator==(const RecordedResponse&) const = default;
};

/** What the caller of KeyLedger::Admit() does with the request. */
enum class KeyAdmission
{
  /** Run the request and report its end to the ledger. */
  Run,
  /** The key is already running. The request waits for that run. */
  Joined,
  /** Answer with the recorded response. */
  Replay,
  /** Answer "unknown" (502). */
  Unknown,
  /** Answer "not run" (503), because the ledger is full. */
  Full,
  /** Answer "not run" (422), because the key was used for a different
   *  request. */
  Mismatch,
};

struct KeyAdmissionResult
{
  KeyAdmission mAdmission = KeyAdmission::Full;
  /** Set only for KeyAdmission::Replay. */
  std::optional<RecordedResponse> mResponse;

  bool operator==(const KeyAdmissionResult&) const = default;
};

enum class KeyState
{
  /** The key was claimed and its run has not ended. After a takeover it
   *  answers "unknown". */
  InFlight,
  /** The run has ended and its response is kept. */
  Recorded,
  /** Whether or how the key ran is not known, or its response was not kept. */
  Unknown,
};

/** The state of a key, as sent to another node. */
struct KeyEntry
{
  std::string mService;
  std::string mKey;
  /** The RequestHash() of the request, or 0 if it is not known. 0 matches every
   *  request. */
  std::uint64_t mHash = 0;
  KeyState mState = KeyState::InFlight;
  RecordedResponse mResponse;

  bool operator==(const KeyEntry&) const = default;
};

/**
 * The idempotency keys that their owner has run or is running, with their
 * outcomes. It ensures that each key runs at most once.
 *
 * An entry is kept for the retention time after the run has ended. When the
 * ledger is full, new keys are refused. Entries are not evicted earlier to make
 * room, because their keys could then run twice. Waiters are opaque ids of
 * requests that wait for the run of their key.
 */
class KeyLedger
{
public:
  struct Options
  {
    Millis mRetention = Seconds(600);
    std::size_t mMaxEntries = 20000;
    std::size_t mMaxBytes = std::size_t{ 8 } << 20;
    /** Memory reserved for the response of each key in flight. A response
     *  that would exceed mMaxBytes is not kept, and its key answers
     *  "unknown" from then on. */
    std::size_t mReservedBytes = 1024;
    std::size_t mMaxWaiters = 64;
  };

  KeyLedger();
  explicit KeyLedger(Options aOptions);

  /** Looks up a key and, if it is new, claims it for aWaiter to run. */
  KeyAdmissionResult Admit(const std::string& aService,
                           const std::string& aKey,
                           std::uint64_t aHash,
                           std::uint64_t aWaiter,
                           Millis aNow);

  /** Marks a claimed key as dispatched to the target, which is allowed once.
   *  @param aWaiter the request for which Admit() returned Run.
   *  @return whether the caller may dispatch the key. False if it was already
   *    dispatched or abandoned, for example because the acknowledgement of an
   *    intent arrives late or twice. */
  bool MarkDispatched(const std::string& aService,
                      const std::string& aKey,
                      std::uint64_t aWaiter);

  /** Records the response of a run.
   *  @return the waiters to answer with aResponse. */
  std::vector<std::uint64_t> Complete(const std::string& aService,
                                      const std::string& aKey,
                                      const RecordedResponse& aResponse,
                                      Millis aNow);

  /** Records that a run has an unknown outcome.
   *  @return the waiters to answer "unknown". */
  std::vector<std::uint64_t> MarkUnknown(const std::string& aService,
                                         const std::string& aKey,
                                         Millis aNow);

  /** Removes a claimed key that was not dispatched.
   *  @return the waiters to answer "not run"; none if it was dispatched. */
  std::vector<std::uint64_t> Abandon(const std::string& aService,
                                     const std::string& aKey);

  /** Removes a dispatched key that the target refused without running it.
   *  @return the waiters to answer "not run". */
  std::vector<std::uint64_t> Refuse(const std::string& aService,
                                    const std::string& aKey);

  /** Removes a waiter whose caller has disconnected. The run continues. */
  void RemoveWaiter(const std::string& aService,
                    const std::string& aKey,
                    std::uint64_t aWaiter);

  /** Merges the entry of another node. A recorded response takes precedence
   *  over an unknown outcome. An entry in flight becomes one with an unknown
   *  outcome.
   *  @return whether there was room; if not, the caller must open the in-doubt
   *    window of the key's slot. */
  bool Restore(const KeyEntry& aEntry, Millis aNow);

  /** Opens the in-doubt window of a slot: until aUntil, keys of the slot that
   *  are not in the ledger answer "unknown". Needed after a takeover without
   *  all entries of the previous owner, which may have run these keys. */
  void OpenInDoubtWindow(const std::string& aService, int aSlot, Millis aUntil);

  /** Removes entries past their retention time and ended in-doubt windows. */
  void Expire(Millis aNow);

  /** @return the entries of a slot, for its next owner or its backup. */
  [[nodiscard]] std::vector<KeyEntry> Entries(const std::string& aService,
                                              int aSlot) const;

  /** @return whether a key of the slot is in flight. */
  [[nodiscard]] bool HasInFlight(const std::string& aService, int aSlot) const;

  [[nodiscard]] std::size_t EntryCount() const { return mEntries.size(); }
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

private:
  using Key = std::pair<std::string, std::string>;

  struct Entry
  {
    std::uint64_t mHash = 0;
    KeyState mState = KeyState::InFlight;
    RecordedResponse mResponse;
    std::vector<std::uint64_t> mWaiters;
    /** The waiter that claimed the key. */
    std::uint64_t mClaim = 0;
    bool mDispatched = false;
    std::size_t mBytes = 0;
    Millis mExpires = Never();
  };

  /** Records the end of a run, as unknown if aResponse is nullptr or there is
   *  no room for it.
   *  @return the waiters to answer. */
  std::vector<std::uint64_t> Finish(const Key& aKey,
                                    const RecordedResponse* aResponse,
                                    Millis aNow);
  bool Insert(const Key& aKey, std::uint64_t aHash);
  std::vector<std::uint64_t> RemoveInFlight(const Key& aKey, bool aDispatched);
  void Erase(std::map<Key, Entry>::iterator aPosition);

  Options mOptions;
  std::map<Key, Entry> mEntries;
  /** Keys of ended runs by the end of their retention. */
  std::multimap<Millis, Key> mEntriesByExpiry;
  /** The ends of the in-doubt windows, by service and slot. */
  std::map<std::pair<std::string, int>, Millis> mInDoubtWindows;
  std::size_t mBytes = 0;
};

} // namespace papayaway
