#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <base/Millis.h>
#include <gateway/CapTerms.h>

namespace papayaway::gateway {

/** How long a node lends its part of all caps in answer to one round of a
 *  coordinator. */
constexpr Millis kCapLease{ 900 };

/**
 * Decides to which coordinator a node lends its part of all caps.
 *
 * The node counts a lease from when it processes the round, which is after the
 * coordinator has sent it. Its part is therefore never controlled by two
 * coordinators at the same time, whatever happens to the messages.
 */
class CapLender
{
public:
  /** @return whether the part may be lent for a round that was received now.
   *    If so, it is lent to this coordinator only, until the lease expires. */
  bool TryLend(const CapCoordinator& aCoordinator, Millis aNow);

private:
  std::optional<CapCoordinator> mCoordinator;
  Millis mUntil;
};

/** The parts that a coordinator has been lent. It counts each lease from when
 *  it sent the round. */
class CapLeases
{
public:
  /** Starts the next round.
   *  @return its number. */
  std::uint64_t StartRound(Millis aNow);

  /** Records what a node has been lent for a round by the nodes on whose behalf
   *  it reports. A later report of the same node replaces an earlier one if it
   *  is greater. Unknown and expired rounds are ignored.
   *  @param aShare a fraction of all caps. */
  void OnLent(std::uint64_t aRound,
              const std::string& aNode,
              double aShare,
              Millis aNow);

  /** @return the fraction of all caps that is lent now, at most 1. */
  [[nodiscard]] double Share(Millis aNow) const;

private:
  struct Round
  {
    std::uint64_t mNumber = 0;
    Millis mSentAt;
    std::map<std::string, double> mLent;
    double mTotal = 0;
  };

  std::uint64_t mLastNumber = 0;
  std::deque<Round> mRounds;
};

} // namespace papayaway::gateway
