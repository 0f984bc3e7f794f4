#include "Reports.h"

namespace papayaway {

namespace {

const char*
StateName(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Left:
      return "left";
    case MemberState::Dead:
      return "dead";
  }
  return "dead";
}

const char*
StateName(EndpointState aState)
{
  switch (aState) {
    case EndpointState::Starting:
      return "starting";
    case EndpointState::Ready:
      return "ready";
    case EndpointState::Draining:
      return "draining";
    case EndpointState::Gone:
      return "gone";
  }
  return "gone";
}

} // namespace

nlohmann::json
MembersReport(const FactStore& aFacts)
{
  nlohmann::json members = nlohmann::json::array();
  aFacts.ForEach<MemberFact>([&](const MemberFact& aMember) {
    members.push_back({ { "node", aMember.mNode },
                        { "data_centre", aMember.mDataCentre },
                        { "region", aMember.mRegion },
                        { "state", StateName(aMember.mState) },
                        { "incarnation", aMember.mIncarnation },
                        { "admin", aMember.mAdminAddress } });
  });
  return members;
}

nlohmann::json
EndpointsReport(const FactStore& aFacts)
{
  nlohmann::json endpoints = nlohmann::json::array();
  aFacts.ForEach<EndpointFact>([&](const EndpointFact& aEndpoint) {
    // The last state of an endpoint is obsolete once its node is dead.
    const MemberFact* const member = aFacts.Member(aEndpoint.mNode);
    const bool reachable =
      member != nullptr && member->mState <= MemberState::Suspect;
    endpoints.push_back(
      { { "node", aEndpoint.mNode },
        { "data_centre", aEndpoint.mDataCentre },
        { "service", aEndpoint.mService },
        { "version", aEndpoint.mVersion },
        { "state", reachable ? StateName(aEndpoint.mState) : "unreachable" },
        { "slots", aEndpoint.mSlots } });
  });
  return { { "endpoints", endpoints } };
}

nlohmann::json
RelaysReport(const FactStore& aFacts)
{
  nlohmann::json relays = nlohmann::json::object();
  aFacts.ForEach<RelayFact>([&](const RelayFact& aRelay) {
    relays[aRelay.mDataCentre] = aRelay.mNode;
  });
  return relays;
}

nlohmann::json
TimelineReport(const std::string& aNode, const EventRing& aEvents)
{
  nlohmann::json events = nlohmann::json::array();
  for (const Event& event : aEvents.Events()) {
    events.push_back(ToJson(event));
  }
  return { { "node", aNode },
           { "events", events },
           { "overwritten", aEvents.Overwritten() } };
}

} // namespace papayaway
