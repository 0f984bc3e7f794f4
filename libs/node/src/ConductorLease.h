#pragma once

#include <functional>
#include <optional>

#include <platform/PlatformClient.h>

#include "NodeContext.h"

namespace papayaway {

/** Acquires and renews the lease `conductor` of the platform. */
class ConductorLease
{
public:
  /** @param aOnGranted runs when this node becomes the holder. */
  ConductorLease(NodeContext& aContext,
                 PlatformClient& aClient,
                 std::string aAddress,
                 std::function<void()> aOnGranted);

  /** Requests or renews the lease when that is due; to be called about twice a
   *  second.
   *  @param aCompete whether this node wants the lease. */
  void Tick(bool aCompete);

  /** Releases the lease at the platform. */
  void Release();

  /** @return whether the lease is valid by the clock of this host, with a
   *    safety margin. */
  [[nodiscard]] bool IsHeld() const;

  /** @return the token of the held lease, or 0. */
  [[nodiscard]] std::uint64_t Token() const;

private:
  void OnAnswer(const Expected<LeaseClaimResult>& aAnswer);

  NodeContext& mContext;
  PlatformClient& mClient;
  std::string mAddress;
  std::function<void()> mOnGranted;
  std::optional<LeaseGrant> mGrant;
  bool mRequestPending = false;
  Millis mNextRequest;
};

} // namespace papayaway
