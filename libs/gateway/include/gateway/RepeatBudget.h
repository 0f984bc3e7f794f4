#pragma once

#include <string>
#include <unordered_map>

#include <base/Millis.h>

namespace papayaway::gateway {

/** The part of all requests that may be sent to a target once more. */
struct RepeatBudgetOptions
{
  /** Repeats for each request of the service, at one node. */
  double mShare = 0.08;
  /** Repeats that a node may make without requests, so that rare requests
   *  are repeated too. All nodes together stay below the fleet's slack. */
  double mReserve = 1;
  /** How fast the reserve comes back. */
  Millis mReserveRefill = Seconds(10);
  /** Repeats saved up by requests at most. */
  double mMaxSaved = 3;
  /** What each rank below the most urgent one leaves of them... */
  double mLeftByRank = 0.75;
  /** ...up to this rank. */
  int mLastRank = 2;

  bool operator==(const RepeatBudgetOptions&) const = default;
};

/**
 * Bounds how often requests are sent to a second target, by service.
 *
 * Each node keeps its own part, so no node asks another: if every node
 * repeats at most a share of its requests, all of them together do too.
 */
class RepeatBudget
{
public:
  RepeatBudget() = default;
  explicit RepeatBudget(RepeatBudgetOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Tells of a new request for the service. */
  void OnRequest(const std::string& aService, Millis aNow);

  /** Takes a repeat from the budget. While repeats are scarce, less urgent
   *  requests leave what is saved to more urgent ones.
   *  @param aPriority the route's rank, 0 is the most urgent.
   *  @return whether there was one. */
  [[nodiscard]] bool TryRepeat(const std::string& aService,
                               int aPriority,
                               Millis aNow);

private:
  struct Account
  {
    double mSaved = 0;
    double mReserve = 0;
    Millis mRefilled;
  };

  Account& Of(const std::string& aService, Millis aNow);

  RepeatBudgetOptions mOptions;
  std::unordered_map<std::string, Account> mAccounts;
};

} // namespace papayaway::gateway
