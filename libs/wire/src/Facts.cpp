#include <wire/Facts.h>

#include <tuple>

#include "FactFields.h"

#include "Alternatives.h"

namespace papayaway {

namespace {

/** Escapes separators so that different parts never make the same key. */
std::string
KeyPart(const std::string& aName)
{
  std::string part;
  part.reserve(aName.size());
  for (const char letter : aName) {
    if (letter == '/') {
      part += "%2F";
    } else if (letter == '%') {
      part += "%25";
    } else {
      part += letter;
    }
  }
  return part;
}

std::string
Key(const MemberFact& aFact)
{
  return "member/" + KeyPart(aFact.mNode);
}

std::string
Key(const EndpointFact& aFact)
{
  return "endpoint/" + KeyPart(aFact.mNode);
}

std::string
Key(const RelayFact& aFact)
{
  return "relay/" + KeyPart(aFact.mDataCentre);
}

std::string
Key(const MoveFact& aFact)
{
  return "move/" + KeyPart(aFact.mService) + "/" + KeyPart(aFact.mTo) + "/" +
         std::to_string(aFact.mAttempt);
}

std::string
Key(const QuarantineFact& aFact)
{
  return "quarantine/" + KeyPart(aFact.mFingerprint);
}

std::string
Key(const ConductorFact&)
{
  return "conductor";
}

// Rank() orders the facts of one key as far as the rule of the kind says;
// the encoded form decides between facts of equal rank.

auto
Rank(const MemberFact& aFact)
{
  return std::tuple(aFact.mIncarnation, aFact.mState);
}

auto
Rank(const EndpointFact& aFact)
{
  return std::tuple(aFact.mIncarnation, aFact.mSequence);
}

/** Orders names in reverse: the lower name ranks higher. */
struct LowerFirst
{
  std::string mText;
  bool operator==(const LowerFirst&) const = default;
  bool operator<(const LowerFirst& aOther) const
  {
    return aOther.mText < mText;
  }
};

auto
Rank(const RelayFact& aFact)
{
  return std::tuple(aFact.mToken, LowerFirst{ aFact.mNode });
}

auto
Rank(const MoveFact& aFact)
{
  // MoveState is declared in the order of absorption.
  return std::tuple(aFact.mState, aFact.mStage, aFact.mToken);
}

auto
Rank(const QuarantineFact& aFact)
{
  // An operator's release wins over a change made at the same time.
  return std::tuple(aFact.mSequence, aFact.mReleased);
}

auto
Rank(const ConductorFact& aFact)
{
  return std::tuple(aFact.mToken, LowerFirst{ aFact.mNode });
}

} // namespace

std::string
FactKey(const Fact& aFact)
{
  return std::visit([](const auto& aKind) { return Key(aKind); }, aFact);
}

std::string
EncodeFact(const Fact& aFact)
{
  FieldWriter writer;
  WriteVariant(writer, "k", aFact);
  return ToCbor(writer);
}

bool
Supersedes(const Fact& aNew, const Fact& aOld)
{
  if (aNew.index() != aOld.index()) {
    return aNew.index() > aOld.index();
  }
  // Most copies that a flood delivers are known already.
  if (aNew == aOld) {
    return false;
  }
  return std::visit(
    [&](const auto& aKind) {
      const auto left = Rank(aKind);
      const auto right =
        Rank(std::get<std::remove_cvref_t<decltype(aKind)>>(aOld));
      return left != right ? right < left : EncodeFact(aOld) < EncodeFact(aNew);
    },
    aNew);
}

} // namespace papayaway
