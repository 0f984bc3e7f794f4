#pragma once

#include <string>
#include <vector>

#include <config/Document.h>
#include <wire/Facts.h>

namespace papayaway {

/** @return the fact that the endpoint at aNode is ready. */
inline EndpointFact
ReadyEndpoint(const std::string& aNode,
              const std::string& aService,
              const std::string& aVersion,
              const std::string& aDataCentre = "nbo-1",
              const std::string& aRegion = "nairobi")
{
  return { .mNode = aNode,
           .mDataCentre = aDataCentre,
           .mRegion = aRegion,
           .mService = aService,
           .mVersion = aVersion,
           .mState = EndpointState::Ready,
           .mSlots = 4 };
}

/** @return a document in which the service "hammer" moves from v1 to v2. */
inline Document
HammerDocument()
{
  Document document;
  document.mServices = {
    { .mName = "hammer",
      .mVersions = { { "v1", 1000 }, { "v2", 0 } },
      .mMove = VersionMove{ .mTo = "v2", .mAttempt = 2 },
      .mSlots = 4 },
    { .mName = "ledger", .mVersions = { { "a", 300 }, { "b", 700 } } },
  };
  document.mRoutes = {
    { .mPrefix = "/", .mService = "ledger" },
    { .mPrefix = "/bids", .mMethods = { "POST" }, .mService = "hammer" },
    { .mPrefix = "/bids/history/",
      .mMethods = { "GET" },
      .mService = "ledger" },
  };
  return document;
}

} // namespace papayaway
