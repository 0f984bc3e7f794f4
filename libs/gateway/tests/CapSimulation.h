#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include <base/Random.h>
#include <gateway/CapNode.h>

namespace papayaway::gateway {

struct CapSimulationOptions
{
  std::size_t mDataCentres = 4;
  std::size_t mNodesPerDataCentre = 21;
  std::uint64_t mSeed = 1;
  /** The fractions of messages that are lost, repeated, and late by up to
   *  3 s. */
  double mLost = 0;
  double mRepeated = 0;
  double mLate = 0;
  CapRules mRules;
};

/** Runs the usage caps of many nodes in simulated time with a simulated
 *  network. */
class CapSimulation
{
public:
  struct Node
  {
    std::unique_ptr<CapNode> mCap;
    std::size_t mDataCentre = 0;
    std::string mName;
    /** Nodes of different groups do not receive messages from each other. */
    int mGroup = 0;
    bool mAlive = true;
    Millis mFrozenUntil;
    /** Differs from those of earlier processes. */
    std::uint64_t mProcess = 0;
  };

  explicit CapSimulation(CapSimulationOptions aOptions,
                         std::vector<Tenant> aTenants)
    : mOptions(aOptions)
    , mTenants(std::move(aTenants))
    , mRandom(aOptions.mSeed)
    , mAdmitted(mTenants.size())
    , mRefused(mTenants.size())
  {
    const std::size_t count =
      mOptions.mDataCentres * mOptions.mNodesPerDataCentre;
    mNodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      mNodes[i].mDataCentre = i / mOptions.mNodesPerDataCentre;
      mNodes[i].mName = "n" + std::to_string(1000 + i);
      Restart(i);
      At(Millis{ UniformFraction(mRandom) * 50 }, [this, i] { Tick(i); });
    }
  }

  /** Replaces the node's process. */
  void Restart(std::size_t aNode)
  {
    Node& node = mNodes[aNode];
    node.mProcess = ++mLastProcess * 1'000'000;
    node.mAlive = true;
    node.mCap = std::make_unique<CapNode>(
      CapNodeOptions{ .mDataCentre = "dc" + std::to_string(node.mDataCentre),
                      .mNode = node.mName,
                      .mProcess = node.mProcess,
                      .mRules = mOptions.mRules },
      mNow);
    node.mCap->SetTenants(mTenants, mNow);
  }

  void At(Millis aTime, std::function<void()> aEvent)
  {
    mEvents.push({ aTime, mLastEvent++, std::move(aEvent) });
  }

  /** Sends Poisson arrivals of a tenant to a node.
   *  @param aRate returns the requests a second at a time; below aMaxRate. */
  void AddCaller(std::size_t aNode,
                 std::size_t aTenant,
                 double aMaxRate,
                 std::function<double(Millis)> aRate)
  {
    const Millis next =
      mNow + Seconds(-std::log(1 - UniformFraction(mRandom)) / aMaxRate);
    At(next, [this, aNode, aTenant, aMaxRate, aRate = std::move(aRate)] {
      if (UniformFraction(mRandom) * aMaxRate < aRate(mNow)) {
        Arrive(aNode, aTenant);
      }
      AddCaller(aNode, aTenant, aMaxRate, aRate);
    });
  }

  void RunUntil(Millis aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      event.mAction();
    }
    mNow = aEnd;
  }

  [[nodiscard]] Millis Now() const { return mNow; }
  Random& Source() { return mRandom; }
  std::vector<Node>& Nodes() { return mNodes; }
  void SetTenants(std::vector<Tenant> aTenants)
  {
    mTenants = std::move(aTenants);
  }
  [[nodiscard]] const std::vector<Tenant>& Tenants() const { return mTenants; }
  [[nodiscard]] std::uint64_t Messages() const { return mMessages; }

  /** @return the greatest sum of the shares of all processes at any time. */
  [[nodiscard]] double GreatestShare() const { return mGreatestShare; }

  /** @return when requests of the tenant were admitted. */
  std::vector<Millis>& Admitted(std::size_t aTenant)
  {
    return mAdmitted[aTenant];
  }
  std::vector<Millis>& Refused(std::size_t aTenant)
  {
    return mRefused[aTenant];
  }

  /** @return how many of the times are in [aFrom, aTo). */
  static std::size_t CountIn(const std::vector<Millis>& aTimes,
                             Millis aFrom,
                             Millis aTo)
  {
    return std::lower_bound(aTimes.begin(), aTimes.end(), aTo) -
           std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
  }

  /** @return the most requests of the tenant admitted in any window that begins
   *    at aFrom or later. */
  std::size_t Busiest(std::size_t aTenant, Millis aWindow, Millis aFrom = {})
  {
    std::size_t most = 0;
    for (const Millis start : mAdmitted[aTenant]) {
      if (start >= aFrom) {
        most =
          std::max(most, CountIn(mAdmitted[aTenant], start, start + aWindow));
      }
    }
    return most;
  }

private:
  struct Event
  {
    Millis mTime;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return std::pair(mTime, mOrder) > std::pair(aOther.mTime, aOther.mOrder);
    }
  };

  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const
  {
    return mNodes[aTo].mAlive && mNodes[aFrom].mGroup == mNodes[aTo].mGroup;
  }

  CapView View(std::size_t aNode)
  {
    return { .mNodes = mNodes.size(), .mRank = [this, aNode] {
              std::size_t rank = 0;
              for (std::size_t i = 0; i < aNode; ++i) {
                rank += Reaches(aNode, i) ? 1 : 0;
              }
              return rank;
            } };
  }

  /** Runs the event on the node's process, after a freeze if it is frozen. */
  void On(std::size_t aNode, std::function<void(Node&)> aEvent)
  {
    Node& node = mNodes[aNode];
    if (!node.mAlive) {
      return;
    }
    if (mNow < node.mFrozenUntil) {
      At(node.mFrozenUntil,
         [this, aNode, process = node.mProcess, aEvent = std::move(aEvent)] {
           if (mNodes[aNode].mProcess == process) {
             On(aNode, aEvent);
           }
         });
      return;
    }
    aEvent(node);
    Flush(aNode);
  }

  void Tick(std::size_t aNode)
  {
    double share = 0;
    for (const Node& node : mNodes) {
      share += node.mAlive ? node.mCap->Share(mNow) : 0;
    }
    mGreatestShare = std::max(mGreatestShare, share);
    const Millis frozen = mNodes[aNode].mFrozenUntil;
    if (mNow >= frozen) {
      On(aNode, [this, aNode](Node& aProcess) {
        aProcess.mCap->Tick(View(aNode), mNow);
      });
    }
    At(std::max(mNow + Millis{ 50 }, frozen), [this, aNode] { Tick(aNode); });
  }

  void Arrive(std::size_t aNode, std::size_t aTenant)
  {
    On(aNode, [this, aTenant](Node& aProcess) {
      const std::uint64_t id = mNextRequest++ * mTenants.size() + aTenant;
      const CapDecision decision = aProcess.mCap->Admit(
        mTenants[aTenant].mName, id, mNow + Millis{ 60 }, mNow);
      Count(aTenant, decision.mOutcome);
    });
  }

  void Count(std::size_t aTenant, CapOutcome aOutcome)
  {
    if (aOutcome == CapOutcome::Admitted) {
      mAdmitted[aTenant].push_back(mNow);
    } else if (aOutcome == CapOutcome::Refused) {
      mRefused[aTenant].push_back(mNow);
    }
  }

  void Flush(std::size_t aNode)
  {
    CapNode& cap = *mNodes[aNode].mCap;
    for (const CapRelease& release : cap.TakeReleases(mNow)) {
      Count(release.mId % mTenants.size(), release.mDecision.mOutcome);
    }
    for (const CapSending& sending : cap.TakeSendings()) {
      std::vector<bool> relayFound(mOptions.mDataCentres);
      const std::size_t own = mNodes[aNode].mDataCentre;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        const std::size_t other = mNodes[i].mDataCentre;
        if (i == aNode || !Reaches(aNode, i)) {
          continue;
        }
        const bool isRelay = !relayFound[other];
        relayFound[other] = true;
        if ((sending.mAddressee == CapAddressee::Node &&
             sending.mNode == mNodes[i].mName) ||
            (sending.mAddressee == CapAddressee::DataCentre && own == other) ||
            (sending.mAddressee == CapAddressee::Relays && own != other &&
             isRelay)) {
          Deliver(aNode, i, sending.mMessage);
        }
      }
    }
  }

  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               const std::variant<CapReport, CapAnswer>& aMessage)
  {
    ++mMessages;
    if (UniformFraction(mRandom) < mOptions.mLost) {
      return;
    }
    const bool sameDataCentre =
      mNodes[aFrom].mDataCentre == mNodes[aTo].mDataCentre;
    const int copies = UniformFraction(mRandom) < mOptions.mRepeated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Millis delay{ (sameDataCentre ? 0.2 : 12) + UniformFraction(mRandom) };
      if (UniformFraction(mRandom) < mOptions.mLate) {
        delay += Millis{ UniformFraction(mRandom) * 3000 };
      }
      At(mNow + delay, [this, aFrom, aTo, sameDataCentre, aMessage] {
        if (!Reaches(aFrom, aTo)) {
          return;
        }
        On(aTo, [this, aFrom, aTo, sameDataCentre, aMessage](Node& aProcess) {
          const std::string& from = mNodes[aFrom].mName;
          if (const auto* const report = std::get_if<CapReport>(&aMessage)) {
            aProcess.mCap->OnReport(from, *report, mNow);
          } else {
            aProcess.mCap->OnAnswer(from,
                                    sameDataCentre,
                                    std::get<CapAnswer>(aMessage),
                                    View(aTo),
                                    mNow);
          }
        });
      });
    }
  }

  CapSimulationOptions mOptions;
  std::vector<Tenant> mTenants;
  Random mRandom;
  std::vector<Node> mNodes;
  std::priority_queue<Event> mEvents;
  std::uint64_t mLastEvent = 0;
  std::uint64_t mLastProcess = 0;
  std::uint64_t mNextRequest = 0;
  std::uint64_t mMessages = 0;
  double mGreatestShare = 0;
  Millis mNow;
  std::vector<std::vector<Millis>> mAdmitted;
  std::vector<std::vector<Millis>> mRefused;
};

} // namespace papayaway::gateway
