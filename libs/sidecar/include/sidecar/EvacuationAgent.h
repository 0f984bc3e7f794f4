#pragma once

#include <functional>
#include <string>

#include <gateway/Placement.h>
#include <sidecar/EventLog.h>
#include <sidecar/PeerMessages.h>
#include <sidecar/RowStore.h>
#include <sidecar/SidecarMetrics.h>

namespace papayaway::sidecar {

struct EvacuationAgentOptions
{
  /** The data centre of this node. */
  std::string mDataCentre;
  /** The key prefix of the operator rows that evacuate a data centre. */
  std::string mRowPrefix;
};

struct EvacuationAgentHandlers
{
  /** @return whether any node belongs to the data centre. */
  std::function<bool(const std::string&)> mIsKnownDataCentre;
  /** The set has changed. */
  std::function<void()> mChanged;
};

/** Keeps the evacuated data centres, from operator rows and from the messages
 *  of other nodes, and reports changes in logs and metrics. */
class EvacuationAgent
{
public:
  EvacuationAgent(EvacuationAgentOptions aOptions,
                  EvacuationAgentHandlers aHandlers,
                  EventLog& aLog,
                  SidecarMetrics& aMetrics);

  /** Applies the evacuation rows of a list that was read from the store.
   *  @param aWholeTable whether the list has all rows of the table, or else
   *    only changes.
   *  @return whether the set changed, so that other nodes must be told. */
  bool OnOperatorRows(const RowList& aList, bool aWholeTable);

  /** Applies the set of another node if it is later.
   *  @return whether the set changed. */
  bool OnPeerEvacuations(const std::string& aNode,
                         const EvacuationsMessage& aMessage);

  [[nodiscard]] const gateway::EvacuationSet& Set() const { return mSet; }

  /** @return whether the data centre of this node is evacuated. */
  [[nodiscard]] bool IsOwnDataCentreEvacuated() const
  {
    return mSet.Contains(mOptions.mDataCentre);
  }

  [[nodiscard]] EvacuationsMessage Message() const
  {
    return { .mEvacuations = mSet.Current() };
  }

private:
  /** Reports the differences from the earlier set. */
  void OnChanged(const gateway::Evacuations& aBefore,
                 const std::string& aSource);

  EvacuationAgentOptions mOptions;
  EvacuationAgentHandlers mHandlers;
  EventLog& mLog;
  SidecarMetrics& mMetrics;
  gateway::EvacuationSet mSet;
};

} // namespace papayaway::sidecar
