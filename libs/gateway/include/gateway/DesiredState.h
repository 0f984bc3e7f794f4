#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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

  bool operator==(const RouteRule&) const = default;
};

struct ServiceRule
{
  std::string mName;
  /** How many connections one target accepts. */
  int mMaxConnections = 100;

  bool operator==(const ServiceRule&) const = default;
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
  RequestLimits mLimits;

  bool operator==(const DesiredState&) const = default;
};

} // namespace papayaway::gateway
