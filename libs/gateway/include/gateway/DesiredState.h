#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A service to which a rule sends requests, with its weight. */
struct Destination
{
  std::string mService;
  /** Relative to the weights of the other destinations. */
  double mWeight = 1;

  bool operator==(const Destination&) const = default;
};

/** How requests whose path begins with mPrefix are routed. */
struct RouteRule
{
  std::string mName;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  std::vector<Destination> mDestinations;
  /** Whether a request may run more than once. */
  bool mIdempotent = false;
  /** The latency objective: a faster response has no additional value. */
  Millis mObjective = Seconds(1);
  /** The longest time that a caller waits for a response. */
  Millis mTimeout = Seconds(30);
  /** How many targets one request may be sent to, including the first. */
  int mMaxAttempts = 1;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** The regions in which a request may run; empty if it may run anywhere. */
  std::vector<std::string> mAllowedRegions;
  /** Whether requests need no key although there are tenants. */
  bool mPublic = false;

  bool operator==(const RouteRule&) const = default;
};

struct ServiceRule
{
  std::string mName;
  /** How many connections one target accepts. */
  int mMaxConnections = 100;
  /** How long a target is cold after its start. */
  Millis mColdPeriod;
  /** How many requests a second a cold target tolerates; 0 if there is no
   *  limit. */
  double mColdRequestsPerSecond = 0;

  bool operator==(const ServiceRule&) const = default;
};

/** A customer whose callers identify themselves by keys. */
struct Tenant
{
  std::string mName;
  std::vector<std::string> mKeys;
  /** Takes precedence over the priority of routes; 0 is the most urgent. */
  std::optional<int> mPriority;
  /** The usage cap over all nodes; 0 if there is no limit. */
  double mRequestsPerSecond = 0;
  /** How many requests may exceed the rate at once. */
  double mBurst = 0;
  /** The regions in which requests of the tenant may run; empty if they may run
   *  anywhere. */
  std::vector<std::string> mAllowedRegions;

  bool operator==(const Tenant&) const = default;
};

/** Limits on the size of requests and on the time that callers take. */
struct RequestLimits
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  /** How long a caller may take to send the header of a request. */
  Millis mHeaderTimeout = Seconds(3);
  /** How long a connection may be idle before it is closed. */
  Millis mIdleTimeout = Seconds(15);

  bool operator==(const RequestLimits&) const = default;
};

/** One version of the configuration of all routes and services. A newer version
 *  replaces it as a whole. */
struct DesiredState
{
  std::uint64_t mVersion = 0;
  /** By host name. */
  std::map<std::string, std::vector<RouteRule>> mHosts;
  std::map<std::string, ServiceRule> mServices;
  /** If not empty, requests need the key of a tenant, except on public rules.
   */
  std::vector<Tenant> mTenants;
  RequestLimits mLimits;

  bool operator==(const DesiredState&) const = default;
};

} // namespace papayaway::gateway
