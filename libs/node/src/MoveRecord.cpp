#include "MoveRecord.h"

#include <algorithm>

#include <config/Document.h>

namespace papayaway {

std::string
MoveKeyOf(const MoveFact& aFact)
{
  return "moves/" + aFact.mService + "/" + aFact.mTo + "/" +
         std::to_string(aFact.mAttempt);
}

nlohmann::json
ToJson(const MoveFact& aFact)
{
  return { { "service", aFact.mService },
           { "to", aFact.mTo },
           { "attempt", aFact.mAttempt },
           { "state", static_cast<int>(aFact.mState) },
           { "stage", aFact.mStage },
           { "share", aFact.mShare },
           { "started_ms", aFact.mStarted.mCount },
           { "token", aFact.mToken },
           { "reason", aFact.mReason } };
}

std::optional<MoveFact>
ParseMove(const nlohmann::json& aJson)
{
  try {
    const int state = aJson.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(MoveState::TakenBack)) {
      return std::nullopt;
    }
    return MoveFact{ .mService = aJson.at("service").get<std::string>(),
                     .mTo = aJson.at("to").get<std::string>(),
                     .mAttempt = aJson.at("attempt").get<int>(),
                     .mState = static_cast<MoveState>(state),
                     .mStage = aJson.at("stage").get<std::uint64_t>(),
                     .mShare =
                       std::clamp(aJson.at("share").get<int>(), 0, kTotalShare),
                     .mStarted = { aJson.at("started_ms").get<double>() },
                     .mToken = aJson.at("token").get<std::uint64_t>(),
                     .mReason = aJson.at("reason").get<std::string>() };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

EventKind
KindOf(MoveState aState)
{
  switch (aState) {
    case MoveState::Running:
      return EventKind::MoveStage;
    case MoveState::Finished:
      return EventKind::MoveFinished;
    case MoveState::TakenBack:
      return EventKind::MoveTakenBack;
  }
  return EventKind::MoveStage;
}

std::string
Describe(const MoveFact& aFact)
{
  std::string move = "move of " + aFact.mService + " to " + aFact.mTo;
  switch (aFact.mState) {
    case MoveState::Running:
      return move + " is at a share of " + std::to_string(aFact.mShare) +
             " of 1000";
    case MoveState::Finished:
      return move + " has finished";
    case MoveState::TakenBack:
      return move + " was taken back: " + aFact.mReason;
  }
  return move;
}

} // namespace papayaway
