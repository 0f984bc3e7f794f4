#include "CapMessageFormat.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace papayaway::sidecar {

using gateway::CapAnswer;
using gateway::CapReport;
using gateway::CapRound;
using nlohmann::json;

namespace {

/** A part of the caps is sent as an integer number of these units, rounded down
 *  so that the sum over all nodes does not exceed 1. */
constexpr double kShareUnits = 1e9;
constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::uint64_t kMaxMillis = 60'000;
constexpr std::size_t kMaxTenants = 10'000;
constexpr std::uint64_t kMaxNumber = std::uint64_t{ 1 } << 62;

std::uint64_t
NumberUpTo(const json& aValue, std::uint64_t aLimit)
{
  if (!aValue.is_number_unsigned() || aValue.get<std::uint64_t>() > aLimit) {
    throw json::out_of_range::create(0, "number out of range", nullptr);
  }
  return aValue.get<std::uint64_t>();
}

Millis
MillisFromJson(const json& aValue)
{
  return { static_cast<double>(NumberUpTo(aValue, kMaxMillis)) };
}

json
ToJson(const CapRound& aRound)
{
  return { aRound.mCoordinator.mDataCentre,
           aRound.mCoordinator.mNode,
           aRound.mCoordinator.mProcess,
           aRound.mNumber };
}

CapRound
RoundFromJson(const json& aList)
{
  return { .mCoordinator = { .mDataCentre = aList.at(0).get<std::string>(),
                             .mNode = aList.at(1).get<std::string>(),
                             .mProcess = NumberUpTo(aList.at(2), kMaxNumber) },
           .mNumber = NumberUpTo(aList.at(3), kMaxNumber) };
}

void
CheckTenants(std::size_t aCount)
{
  if (aCount > kMaxTenants) {
    throw json::out_of_range::create(0, "too many tenants", nullptr);
  }
}

} // namespace

json
CapReportToJson(int aType, const CapReport& aReport)
{
  json wanted = json::array();
  for (const auto& [tenant, tokens] : aReport.mWanted) {
    wanted.push_back(tenant);
    wanted.push_back(std::min<std::uint64_t>(tokens, kMaxTokens));
  }
  json list = { aType, aReport.mRequest, std::move(wanted) };
  if (aReport.mLoan) {
    list.push_back(ToJson(aReport.mLoan->mRound));
    list.push_back(
      static_cast<std::uint64_t>(aReport.mLoan->mShare * kShareUnits));
  }
  return list;
}

CapReport
CapReportFromJson(const json& aList)
{
  CapReport report{ .mLoan = {},
                    .mRequest = NumberUpTo(aList.at(1), kMaxNumber),
                    .mWanted = {} };
  const json& wanted = aList.at(2);
  CheckTenants(wanted.size() / 2);
  for (std::size_t i = 0; i + 1 < wanted.size(); i += 2) {
    report.mWanted[wanted.at(i).get<std::string>()] =
      static_cast<std::uint32_t>(NumberUpTo(wanted.at(i + 1), kMaxTokens));
  }
  if (aList.size() > 4) {
    report.mLoan = gateway::CapLoan{
      .mRound = RoundFromJson(aList.at(3)),
      .mShare = static_cast<double>(NumberUpTo(
                  aList.at(4), static_cast<std::uint64_t>(kShareUnits))) /
                kShareUnits
    };
  }
  return report;
}

json
CapAnswerToJson(int aType, const CapAnswer& aAnswer)
{
  json grants = json::array();
  for (const gateway::CapTenantGrant& grant : aAnswer.mGrants) {
    // The life of tokens is rounded down, the wait up.
    grants.push_back(
      { grant.mTenant,
        grant.mGrant.mTokens,
        static_cast<std::uint64_t>(grant.mValidFor.mCount),
        static_cast<std::uint64_t>(std::ceil(grant.mGrant.mWait.mCount)) });
  }
  json list = { aType, aAnswer.mRequest, std::move(grants) };
  if (aAnswer.mRound) {
    list.push_back(ToJson(*aAnswer.mRound));
  }
  return list;
}

CapAnswer
CapAnswerFromJson(const json& aList)
{
  CapAnswer answer{ .mRound = {},
                    .mRequest = NumberUpTo(aList.at(1), kMaxNumber),
                    .mGrants = {} };
  const json& grants = aList.at(2);
  CheckTenants(grants.size());
  for (const json& grant : grants) {
    answer.mGrants.push_back(
      { .mTenant = grant.at(0).get<std::string>(),
        .mGrant = { .mTokens = static_cast<std::uint32_t>(
                      NumberUpTo(grant.at(1), kMaxTokens)),
                    .mWait = MillisFromJson(grant.at(3)) },
        .mValidFor = MillisFromJson(grant.at(2)) });
  }
  if (aList.size() > 3) {
    answer.mRound = RoundFromJson(aList.at(3));
  }
  return answer;
}

} // namespace papayaway::sidecar
