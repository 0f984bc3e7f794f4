#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <gateway/FairShares.h>

namespace papayaway::gateway {

/** A request that needs a slot of the target to run. */
struct SlotRequest
{
  std::uint64_t mId = 0;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Whether the request is a call of a running request, which would be wasted
   *  without it. */
  bool mNestedCall = false;
  /** The time at which the caller stops waiting. */
  Millis mDeadline;
  /** The time by which the request meets the latency objective of its route. */
  Millis mObjective;
  /** The mean run time of the requests of its route. */
  Millis mRunTime;
  /** The time within which about 3 in 4 requests of its route end. */
  Millis mRunTimeP75;
  /** The tenant that the slot time counts for; empty if there is none. */
  std::string mTenant;
  /** The tenant's share of the slots, relative to those of others. */
  double mWeight = 1;
  /** Set by SlotQueue: orders requests of the same priority, see FairShares. */
  double mTag = 0;

  bool operator==(const SlotRequest&) const = default;
};

/** The requests that the owner of a SlotQueue has to start or refuse. */
struct SlotActions
{
  std::vector<std::uint64_t> mStart;
  /** These requests have not been started. */
  std::vector<std::uint64_t> mRefuse;

  bool operator==(const SlotActions&) const = default;
};

/**
 * Starts, queues or refuses the requests for the slots of one target.
 *
 * The most urgent waiting request is started first; of the same priority,
 * calls of running requests are started before new requests. Otherwise requests
 * are started in the order in which their tenants are due, those without a
 * tenant in order of arrival. A request that would have to wait
 * and then miss its objective is refused at once, so that it can be sent to
 * another target or retried later. A waiting request is refused when more
 * urgent requests delay it so much that it would miss its objective.
 */
class SlotQueue
{
public:
  explicit SlotQueue(int aSlots)
    : mSlots(aSlots)
  {
  }

  void SetSlots(int aSlots) { mSlots = aSlots; }

  /** Adds a request, which is started, queued or refused. */
  [[nodiscard]] SlotActions Offer(const SlotRequest& aRequest, Millis aNow);

  /** Sets the number of started requests that hold no slot any more because
   *  the target has ended them and their responses were lost. Their slots
   *  become free for waiting requests. */
  [[nodiscard]] SlotActions SetLostResponses(int aCount, Millis aNow);

  /** Frees the slot of a started request that has ended. */
  [[nodiscard]] SlotActions OnFinished(Millis aNow);

  /** Refuses the waiting requests that would miss their objective or their
   *  deadline. To be called periodically. */
  [[nodiscard]] SlotActions OnTick(Millis aNow);

  /** Removes a waiting request.
   *  @return false if the request is not waiting. */
  bool Cancel(std::uint64_t aId);

  /** Removes all waiting requests.
   *  @return their ids. */
  [[nodiscard]] std::vector<std::uint64_t> TakeWaiting();

  /** @param aPriority the priority of a new request.
   *  @param aRunTime the mean run time of the requests of its route.
   *  @param aNestedCall whether it is a call of a running request.
   *  @return how long the request would wait for a slot. */
  [[nodiscard]] Millis ExpectedWait(int aPriority,
                                    Millis aRunTime,
                                    bool aNestedCall = false) const;

  /** @return the number of started requests that hold a slot. */
  [[nodiscard]] int Running() const { return mStarted - mLostResponses; }
  [[nodiscard]] int Waiting() const
  {
    return static_cast<int>(mWaiting.size());
  }
  [[nodiscard]] int Slots() const { return mSlots; }

private:
  /** @return whether a request that starts at aStart would miss its deadline,
   *    or its objective while other requests wait. */
  [[nodiscard]] bool ShouldRefuse(const SlotRequest& aRequest,
                                  Millis aStart,
                                  bool aOthersWaiting) const;
  /** @param aTag the greatest tag of requests of the same priority that go
   *    before the new one.
   *  @return how long a new request would wait for a slot. */
  [[nodiscard]] Millis ExpectedWait(int aPriority,
                                    bool aNestedCall,
                                    double aTag,
                                    Millis aRunTime) const;
  /** Adds a request to the shares and to the started requests. */
  void StartAtOnce(const SlotRequest& aRequest, SlotActions& aActions);
  /** Handles the end of a request that has left mWaiting without a start. */
  void OnNotStarted(const SlotRequest& aRequest);
  /** Starts waiting requests while slots are free; refuses those that would
   *  end too late. */
  void StartWaiting(Millis aNow, SlotActions& aActions);

  int mSlots;
  /** Requests that were started and have not ended. */
  int mStarted = 0;
  /** How many of these hold no slot, see SetLostResponses(). */
  int mLostResponses = 0;
  /** Ordered by priority, then calls of running requests first, then by tag,
   *  then by arrival. */
  std::vector<SlotRequest> mWaiting;
  FairShares mShares;
};

} // namespace papayaway::gateway
