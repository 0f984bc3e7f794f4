#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Random.h>
#include <net/EventLoop.h>
#include <net/HttpClient.h>
#include <platform/PlatformTypes.h>

namespace papayaway {

struct PlatformOptions
{
  /** "IPv4:port" of the platform. */
  std::string mAddress;
  /** The timeout of one HTTP call; a commit may need several calls. */
  Millis mTimeout = Seconds(2);
  Millis mConnectTimeout = Seconds(1);
  /** The maximum number of lookups of the result of a commit whose response was
   *  lost. */
  int mMaxLookups = 4;
  /** The mean delay before the first lookup; it doubles with each lookup. */
  Millis mLookupDelay{ 100 };
  /** The limit on calls that have not ended; further ones are refused. */
  std::size_t mMaxPending = 1024;
};

/**
 * An asynchronous client of the platform's table, leases and objects.
 *
 * Each callback runs once, on the event loop, and never before the function it
 * was given to has returned. Callbacks that are pending when the client is
 * destroyed do not run. Calls fail with NotFound, Invalid, Timeout,
 * Unavailable, TooLarge, Refused (too many pending calls, or the platform has
 * no space left) or Internal. Writes fail with Unavailable only if they
 * certainly had no effect, and with OutcomeUnknown if it is not known whether
 * they had one.
 */
class PlatformClient
{
public:
  template<typename T>
  using Callback = std::function<void(Expected<T>)>;

  /** The result of a call that returns no value. */
  struct Empty
  {
    bool operator==(const Empty&) const = default;
  };

  /** @param aRandom the source of jitter for the delays between lookups. */
  PlatformClient(EventLoop& aLoop,
                 HttpClient& aHttp,
                 const PlatformOptions& aOptions,
                 Random aRandom);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void ReadRow(const std::string& aKey, Callback<TableRow> aCallback);

  /** Reads the rows whose keys start with aPrefix, ordered by key. */
  void ScanRows(const std::string& aPrefix,
                Callback<std::vector<TableRow>> aCallback);

  /** Runs a transaction at most once. If its response is lost, looks up the
   *  result of the operation. If there is none and the request may still
   *  arrive, retries the transaction. */
  void Commit(const Transaction& aTransaction,
              Callback<CommitResult> aCallback);

  /** Reads the result of an operation; fails with NotFound if the operation has
   *  had no effect so far. */
  void OperationResult(const std::string& aOperation,
                       Callback<Committed> aCallback);

  /** Takes a lease that is free, expired, or already held by the holder in
   *  aClaim. In the last case the grant has a new token. */
  void AcquireLease(const LeaseClaim& aClaim,
                    Callback<LeaseClaimResult> aCallback);

  /** Extends a lease. The token stays the same if nobody else has held the
   *  lease in the meantime. */
  void RenewLease(const LeaseClaim& aClaim,
                  LeaseToken aToken,
                  Callback<LeaseClaimResult> aCallback);

  /** Ends a lease; fails with Conflict if it is not held with aToken. */
  void ReleaseLease(const std::string& aName,
                    const std::string& aHolder,
                    LeaseToken aToken,
                    Callback<Empty> aCallback);

  void ReadLease(const std::string& aName, Callback<LeaseState> aCallback);

  /** Stores an object; replaces an earlier object with the same name. */
  void PutObject(const std::string& aName,
                 std::string aContent,
                 Callback<Empty> aCallback);

  void GetObject(const std::string& aName, Callback<std::string> aCallback);

  void ListObjects(const std::string& aPrefix,
                   Callback<std::vector<ObjectInfo>> aCallback);

  /** @return the number of calls that have not ended. */
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace papayaway
