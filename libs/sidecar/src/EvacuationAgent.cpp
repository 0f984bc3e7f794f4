#include <sidecar/EvacuationAgent.h>

#include <utility>
#include <vector>

namespace papayaway::sidecar {

using gateway::EvacuationChange;
using gateway::Evacuations;

EvacuationAgent::EvacuationAgent(EvacuationAgentOptions aOptions,
                                 EvacuationAgentHandlers aHandlers,
                                 EventLog& aLog,
                                 SidecarMetrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

bool
EvacuationAgent::OnOperatorRows(const RowList& aList, bool aWholeTable)
{
  std::vector<EvacuationChange> changes;
  for (const Row& row : aList.mRows) {
    if (row.mKey.starts_with(mOptions.mRowPrefix)) {
      changes.push_back(
        { .mDataCentre = row.mKey.substr(mOptions.mRowPrefix.size()),
          .mVersion = row.mVersion,
          .mDeleted = row.mDeleted });
    }
  }
  const Evacuations before = mSet.Current();
  bool changed = false;
  if (aWholeTable) {
    gateway::EvacuationSet table;
    table.ApplyChanges(aList.mVersion, std::move(changes));
    changed = mSet.Replace(table.Current());
  } else {
    changed = mSet.ApplyChanges(aList.mVersion, std::move(changes));
  }
  if (changed) {
    OnChanged(before, "store");
  }
  return changed;
}

bool
EvacuationAgent::OnPeerEvacuations(const std::string& aNode,
                                   const EvacuationsMessage& aMessage)
{
  const Evacuations before = mSet.Current();
  const bool changed = mSet.Replace(aMessage.mEvacuations);
  if (changed) {
    OnChanged(before, aNode);
  }
  return changed;
}

void
EvacuationAgent::OnChanged(const Evacuations& aBefore,
                           const std::string& aSource)
{
  const Evacuations& current = mSet.Current();
  const auto logMissingFrom = [&](const Evacuations& aOther,
                                  const Evacuations& aNames,
                                  const char* aEvent) {
    for (const std::string& name : aNames.mDataCentres) {
      if (!aOther.mDataCentres.contains(name)) {
        mLog.WriteStateChange(
          "placement",
          aEvent,
          { { "evacuated", name },
            { "known", mHandlers.mIsKnownDataCentre(name) },
            { "store_version", current.mVersion.ToString() },
            { "source", aSource } });
      }
    }
  };
  logMissingFrom(aBefore, current, "evacuation_started");
  logMissingFrom(current, aBefore, "evacuation_ended");
  mMetrics.mEvacuations.Set(static_cast<double>(current.mDataCentres.size()));
  mMetrics.mOwnEvacuation.Set(IsOwnDataCentreEvacuated() ? 1 : 0);
  mHandlers.mChanged();
}

} // namespace papayaway::sidecar
