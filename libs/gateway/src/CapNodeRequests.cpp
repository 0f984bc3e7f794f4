// CapNode: requests for tokens, of this node and of those it is the relay of.

#include <gateway/CapNode.h>

#include <algorithm>
#include <utility>

namespace papayaway::gateway {

namespace {

/** A request for tokens that was not answered within this time is sent again.
 *  Between regions an answer takes 25 ms, and more while a host is slow. */
constexpr Millis kRequestTimeout{ 300 };
/** With one unanswered request, a request that arrives after it was sent waits
 *  for two answers, longer than it may be held. */
constexpr std::size_t kMaxUnanswered = 2;
/** Limits the memory for requests of other nodes. */
constexpr std::size_t kMaxRequesters = 2000;

} // namespace

void
CapNode::AddRequest(const std::string& aTenant, Request aRequest)
{
  if (!mTerms.contains(aTenant)) {
    return;
  }
  std::vector<Request>& requests = mWaiting[aTenant];
  const auto same =
    std::find_if(requests.begin(), requests.end(), [&](const Request& aOther) {
      return aOther.mNode == aRequest.mNode &&
             aOther.mRequest == aRequest.mRequest;
    });
  if (same != requests.end()) {
    *same = std::move(aRequest);
  } else if (requests.size() < kMaxRequesters) {
    requests.push_back(std::move(aRequest));
  }
}

void
CapNode::AddOwnRequests(Millis aNow)
{
  for (auto& [tenant, wanted] : mCap.Wanted(aNow)) {
    std::uint32_t asked = 0;
    for (const auto& [number, sent] : mAsked) {
      if (const auto requests = sent.mRequests.find(tenant);
          requests != sent.mRequests.end()) {
        for (const Request& request : requests->second) {
          asked += request.mNode.empty() ? request.mWanted : 0;
        }
      }
    }
    if (wanted > asked) {
      AddRequest(
        tenant,
        { .mNode = {}, .mWanted = wanted - asked, .mReceivedAt = aNow });
    }
  }
}

void
CapNode::ProcessRequests(Millis aNow)
{
  if (!mSource) {
    return;
  }
  std::erase_if(mAsked, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mSentAt + kRequestTimeout;
  });
  const bool own = mSource->empty();
  if (!own && mAsked.size() >= kMaxUnanswered) {
    return;
  }
  AddOwnRequests(aNow);
  for (auto& [tenant, requests] : mWaiting) {
    // Their nodes have requested again since, or no longer wait.
    std::erase_if(requests, [&](const Request& aRequest) {
      return aNow >= aRequest.mReceivedAt + kRequestTimeout;
    });
  }
  std::erase_if(mWaiting,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  if (mWaiting.empty()) {
    return;
  }
  Requests requests = std::exchange(mWaiting, {});
  if (own) {
    GrantFromPool(requests, aNow);
    return;
  }
  CapReport report{ .mLoan = {}, .mRequest = ++mLastRequest, .mWanted = {} };
  for (const auto& [tenant, list] : requests) {
    for (const Request& request : list) {
      report.mWanted[tenant] += request.mWanted;
    }
  }
  mAsked[mLastRequest] = { .mRequests = std::move(requests), .mSentAt = aNow };
  Send(*mSource, std::move(report));
}

void
CapNode::GrantFromPool(const Requests& aRequests, Millis aNow)
{
  UpdateShare(aNow);
  Answers answers;
  for (const auto& [tenant, list] : aRequests) {
    std::uint32_t sum = 0;
    for (const Request& request : list) {
      sum += request.mWanted;
    }
    Distribute(tenant,
               list,
               mPool.Take(tenant, sum, aNow),
               aNow + mTerms[tenant].mTokenLife,
               answers,
               aNow);
  }
  for (auto& [key, answer] : answers) {
    Send(key.first, std::move(answer));
  }
}

void
CapNode::Distribute(const std::string& aTenant,
                    const std::vector<Request>& aRequests,
                    const CapGrant& aGrant,
                    Millis aExpiry,
                    Answers& aAnswers,
                    Millis aNow)
{
  double wanted = 0;
  for (const Request& request : aRequests) {
    wanted += request.mWanted;
  }
  double soFar = 0;
  std::uint32_t given = 0;
  for (const Request& request : aRequests) {
    // Rounds the running sum, so that all tokens are given out in proportion.
    soFar += request.mWanted;
    const auto upTo = static_cast<std::uint32_t>(
      static_cast<double>(std::min<std::uint64_t>(
        aGrant.mTokens, static_cast<std::uint64_t>(wanted))) *
      (soFar / wanted));
    const std::uint32_t tokens = std::min(upTo - given, request.mWanted);
    given = upTo;
    if (request.mNode.empty()) {
      mCap.OnGrant(
        aTenant, request.mWanted, tokens, aExpiry, aGrant.mWait, aNow);
      continue;
    }
    CapAnswer& answer = aAnswers[{ request.mNode, request.mRequest }];
    answer.mRequest = request.mRequest;
    answer.mGrants.push_back(
      { .mTenant = aTenant,
        .mGrant = { .mTokens = tokens, .mWait = aGrant.mWait },
        .mValidFor = std::max(aExpiry - aNow, Millis{}) });
  }
}

} // namespace papayaway::gateway
