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
  /** The time for one HTTP call; a commit may need several. */
  Millis mTimeout = Seconds(2);
  Millis mConnectTimeout = Seconds(1);
  /** How often a commit without a result asks for it at most. */
  int mMaxLookups = 4;
  /** The mean pause before the first question; it doubles each time. */
  Millis mLookupDelay{ 100 };
  /** Calls that have not ended; further ones are refused. */
  std::size_t mMaxPending = 1024;
};

/**
 * Calls to the platform's table, leases and objects.
 *
 * A callback runs once, on the loop and never inside the call that takes it;
 * callbacks that are pending when the client is destroyed do not run. Calls
 * fail with NotFound, Invalid, Timeout, Unavailable, TooLarge, Refused (too
 * many calls, or the platform is full) or Internal. Calls that change
 * something fail with Unavailable only if it is certain that they had no
 * effect, and with OutcomeUnknown if that can't be told.
 */
class PlatformClient
{
public:
  template<typename T>
  using Callback = std::function<void(Expected<T>)>;

  struct Nothing
  {
    bool operator==(const Nothing&) const = default;
  };

  /** @param aRandom spreads the questions after an outage. */
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

  /** Runs a transaction once. If its reply is lost, asks for the result of
   *  the operation and sends the transaction again if it is not known. */
  void Commit(const Transaction& aTransaction,
              Callback<CommitAnswer> aCallback);

  /** Reads the result of an operation; NotFound if it has had no effect. */
  void OperationResult(const std::string& aOperation,
                       Callback<Committed> aCallback);

  /** Takes a lease that is free or expired. If aClaim names the holder
   *  itself, the grant has a new token. */
  void AcquireLease(const LeaseClaim& aClaim, Callback<LeaseAnswer> aCallback);

  /** Prolongs a lease; the token stays if nobody else had it meanwhile. */
  void RenewLease(const LeaseClaim& aClaim,
                  LeaseToken aToken,
                  Callback<LeaseAnswer> aCallback);

  /** Ends a lease; Conflict if it is not held by aToken. */
  void ReleaseLease(const std::string& aName,
                    const std::string& aHolder,
                    LeaseToken aToken,
                    Callback<Nothing> aCallback);

  void ReadLease(const std::string& aName, Callback<LeaseState> aCallback);

  /** Stores an object; an earlier one of the name is replaced. */
  void PutObject(const std::string& aName,
                 std::string aContent,
                 Callback<Nothing> aCallback);

  void GetObject(const std::string& aName, Callback<std::string> aCallback);

  void ListObjects(const std::string& aPrefix,
                   Callback<std::vector<ObjectInfo>> aCallback);

  /** @return calls that have not ended. */
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace papayaway
