#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>

namespace papayaway::gateway {

/** A service that a rule sends requests to, with its part of them. */
struct Destination
{
  std::string mService;
  /** Relative to the weights of the other destinations. */
  double mWeight = 1;

  bool operator==(const Destination&) const = default;
};

/** What happens to the requests whose path begins with mPrefix. */
struct RouteRule
{
  std::string mName;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  std::vector<Destination> mDestinations;
  /** Whether a request may run more than once. */
  bool mIdempotent = false;
  /** An answer within this time is worth most to the caller. */
  Millis mObjective = Seconds(1);
  /** The longest time that a caller is kept waiting. */
  Millis mTimeout = Seconds(30);
  /** Targets that one request may be sent to, the first included. */
  int mMaxAttempts = 1;
  /** 0 is the most urgent. */
  int mPriority = 0;

  bool operator==(const RouteRule&) const = default;
};

struct ServiceRule
{
  std::string mName;
  /** Connections that one target accepts. */
  int mMaxConnections = 100;

  bool operator==(const ServiceRule&) const = default;
};

/** What callers may send and how long they may take. */
struct RequestLimits
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  Millis mHeaderTimeout = Seconds(3);
  Millis mIdleTimeout = Seconds(15);

  bool operator==(const RequestLimits&) const = default;
};

/** One version of all routes and services, which replaces the one before. */
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
