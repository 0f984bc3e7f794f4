#pragma once

#include <string>
#include <unordered_map>

#include <base/Millis.h>

namespace papayaway::gateway {

/** The limits for the retries of each service at one node. Each retry takes one
 *  token. */
struct RetryBudgetOptions
{
  /** The tokens that each request of the service earns. */
  double mTokensPerRequest = 0.08;
  /** The tokens that a service has regardless of its requests, so that requests
   *  of services with low rates can be retried too. The reserves of all nodes
   *  together stay below the spare capacity of all targets. */
  double mReserve = 1;
  /** The time in which an empty reserve is refilled. */
  Millis mReserveRefill = Seconds(10);
  /** The maximum number of earned tokens that are kept. */
  double mMaxEarned = 3;
  /** The earned tokens that a request of priority 1 must leave for more urgent
   *  requests. A request of priority N must leave N times as many. */
  double mHeadroomPerPriority = 0.75;
  /** For mHeadroomPerPriority, priorities above this number count as this
   *  number. */
  int mLowestPriority = 2;

  bool operator==(const RetryBudgetOptions&) const = default;
};

/**
 * Limits the retries of requests at another target, separately for each
 * service.
 *
 * Each node limits its own retries without coordination: if every node retries
 * at most a given fraction of its requests, so do all nodes together.
 */
class RetryBudget
{
public:
  RetryBudget() = default;
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Adds the tokens that a new request for the service earns. */
  void OnRequest(const std::string& aService, Millis aNow);

  /** Takes a token for a retry. While there are few earned tokens, less urgent
   *  requests leave them to more urgent ones.
   *  @param aPriority the priority of the route; 0 is the most urgent.
   *  @return whether there was a token, so that the request may be retried. */
  [[nodiscard]] bool TryRetry(const std::string& aService,
                              int aPriority,
                              Millis aNow);

private:
  struct Tokens
  {
    double mEarned = 0;
    double mReserve = 0;
    Millis mRefilledAt;
  };

  Tokens& TokensOf(const std::string& aService, Millis aNow);

  RetryBudgetOptions mOptions;
  std::unordered_map<std::string, Tokens> mTokens;
};

} // namespace papayaway::gateway
