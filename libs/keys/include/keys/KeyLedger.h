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

/** Slots into which the keys of a service are divided. */
constexpr int kKeySlots = 16;

/** @return the slot of aKey, equal on every host. */
int KeySlot(std::string_view aKey);

/** @return the hash by which a reused key is compared with its first use. */
std::uint64_t RequestHash(std::string_view aMethod,
                          std::string_view aPath,
                          std::string_view aBody);

/** A response as it is replayed. */
struct RecordedResponse
{
  int mStatus = 0;
  Fields mHeaders;
  std::string mBody;

  bool operator==(const RecordedResponse&) const = default;
};

/** What the caller of Admit() does with the request. */
enum class KeyAdmission
{
  /** Run it and report its end to the ledger. */
  Run,
  /** It waits for the run that is in flight. */
  Joined,
  /** Answer with the recorded response. */
  Replay,
  /** Answer "unknown" (502). */
  Unknown,
  /** Answer "not run" (503); the ledger is full. */
  Full,
  /** Answer "not run" (422); the key belongs to another request. */
  Mismatch,
};

struct KeyAnswer
{
  KeyAdmission mAdmission = KeyAdmission::Full;
  /** Only for Replay. */
  std::optional<RecordedResponse> mResponse;

  bool operator==(const KeyAnswer&) const = default;
};

enum class KeyState
{
  /** The intent is known; after a takeover this answers "unknown". */
  InFlight,
  Recorded,
  Unknown,
};

/** A key and what is known of it, as handed to another node. */
struct KeyEntry
{
  std::string mService;
  std::string mKey;
  /** 0 if it is not known; then every request matches. */
  std::uint64_t mHash = 0;
  KeyState mState = KeyState::InFlight;
  RecordedResponse mResponse;

  bool operator==(const KeyEntry&) const = default;
};

/**
 * The keys that an owner ran or runs, with their outcomes.
 *
 * An entry stays for the retention time after its end. When the ledger is
 * full, new keys are refused: an entry inside its retention is not evicted,
 * because its key could then run twice. Waiters are opaque ids of requests.
 */
class KeyLedger
{
public:
  struct Options
  {
    Millis mRetention = Seconds(600);
    std::size_t mMaxEntries = 20000;
    std::size_t mMaxBytes = std::size_t{ 8 } << 20;
    /** Memory set aside for the response of a key in flight. A response for
     *  which there is no memory is not kept; its key then answers
     *  "unknown". */
    std::size_t mReservedBytes = 1024;
    std::size_t mMaxWaiters = 64;
  };

  KeyLedger();
  explicit KeyLedger(Options aOptions);

  /** Looks up a key and claims it if it is new. */
  KeyAnswer Admit(const std::string& aService,
                  const std::string& aKey,
                  std::uint64_t aHash,
                  std::uint64_t aWaiter,
                  Millis aNow);

  /** Asks to send a claimed key to the target, which is allowed once.
   *  @param aWaiter the request that Admit() told to run the key.
   *  @return false if the key was dispatched or abandoned before, for example
   *    when the acknowledgement of an intent arrives twice or late. */
  bool Dispatch(const std::string& aService,
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

  /** Forgets a claimed key that was not dispatched.
   *  @return the waiters to answer "not run"; none if it was dispatched. */
  std::vector<std::uint64_t> Abandon(const std::string& aService,
                                     const std::string& aKey);

  /** Forgets a dispatched key that the target refused without running it.
   *  @return the waiters to answer "not run". */
  std::vector<std::uint64_t> Refuse(const std::string& aService,
                                    const std::string& aKey);

  /** Removes a waiter whose caller is gone; the run goes on. */
  void RemoveWaiter(const std::string& aService,
                    const std::string& aKey,
                    std::uint64_t aWaiter);

  /** Takes over what another node knows of a key. A recorded response wins
   *  over an unknown one; a key in flight elsewhere becomes unknown.
   *  @return whether there was room; if not, the caller opens the doubt
   *    window for the key's slot. */
  bool Restore(const KeyEntry& aEntry, Millis aNow);

  /** Makes keys of a slot that were never seen answer "unknown" until
   *  aUntil, after a takeover that can't know what ran before. */
  void OpenDoubt(const std::string& aService, int aSlot, Millis aUntil);

  /** Drops entries past their retention. */
  void Expire(Millis aNow);

  /** @return the entries of a slot, for the next owner. */
  [[nodiscard]] std::vector<KeyEntry> Entries(const std::string& aService,
                                              int aSlot) const;

  /** @return whether a run of the service's slot is in flight. */
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
    /** The request that runs the key. */
    std::uint64_t mClaim = 0;
    bool mDispatched = false;
    std::size_t mBytes = 0;
    Millis mExpires = Never();
  };

  std::vector<std::uint64_t> Finish(const Key& aKey,
                                    const RecordedResponse* aResponse,
                                    Millis aNow);
  bool Insert(const Key& aKey, std::uint64_t aHash);
  std::vector<std::uint64_t> Forget(const Key& aKey, bool aDispatched);
  void Erase(std::map<Key, Entry>::iterator aPosition);

  Options mOptions;
  std::map<Key, Entry> mEntries;
  /** Entries by the end of their retention. */
  std::multimap<Millis, Key> mExpiries;
  std::map<std::pair<std::string, int>, Millis> mDoubts;
  std::size_t mBytes = 0;
};

} // namespace papayaway
