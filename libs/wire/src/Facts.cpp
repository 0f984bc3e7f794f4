#include <wire/Facts.h>

#include <tuple>

#include "FactFields.h"

#include "Alternatives.h"

namespace papayaway {

namespace {

/** Percent-encodes the separator '/', so that different names never give the
 *  same key. */
std::string
EscapedKeyPart(const std::string& aName)
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
  return "member/" + EscapedKeyPart(aFact.mNode);
}

std::string
Key(const EndpointFact& aFact)
{
  return "endpoint/" + EscapedKeyPart(aFact.mNode);
}

std::string
Key(const RelayFact& aFact)
{
  return "relay/" + EscapedKeyPart(aFact.mDataCentre);
}

std::string
Key(const MoveFact& aFact)
{
  return "move/" + EscapedKeyPart(aFact.mService) + "/" +
         EscapedKeyPart(aFact.mTo) + "/" + std::to_string(aFact.mAttempt);
}

std::string
Key(const QuarantineFact& aFact)
{
  return "quarantine/" + EscapedKeyPart(aFact.mFingerprint);
}

std::string
Key(const ConductorFact&)
{
  return "conductor";
}

// Rank() orders the facts of one key: the fact with the greater rank replaces
// the other. Between facts of equal rank the encoded form decides.

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

/** A text with the reverse order: the text that sorts first ranks highest. */
struct ReverseOrdered
{
  std::string mText;
  bool operator==(const ReverseOrdered&) const = default;
  bool operator<(const ReverseOrdered& aOther) const
  {
    return aOther.mText < mText;
  }
};

auto
Rank(const RelayFact& aFact)
{
  return std::tuple(aFact.mToken, ReverseOrdered{ aFact.mNode });
}

auto
Rank(const MoveFact& aFact)
{
  // MoveState is declared in ascending precedence, so a finished or taken-back
  // move never becomes a running one.
  return std::tuple(aFact.mState, aFact.mStage, aFact.mToken);
}

auto
Rank(const QuarantineFact& aFact)
{
  // A release by an operator wins over a quarantine of the same sequence.
  return std::tuple(aFact.mSequence, aFact.mReleased);
}

auto
Rank(const ConductorFact& aFact)
{
  return std::tuple(aFact.mToken, ReverseOrdered{ aFact.mNode });
}

} // namespace

std::string
FactKey(const Fact& aFact)
{
  return std::visit([](const auto& aTypedFact) { return Key(aTypedFact); },
                    aFact);
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
  // Most facts arrive more than once, because nodes forward them to several
  // peers; the comparison avoids encoding the same fact at each arrival.
  if (aNew == aOld) {
    return false;
  }
  return std::visit(
    [&](const auto& aTypedFact) {
      const auto newRank = Rank(aTypedFact);
      const auto oldRank =
        Rank(std::get<std::remove_cvref_t<decltype(aTypedFact)>>(aOld));
      return newRank != oldRank ? oldRank < newRank
                                : EncodeFact(aOld) < EncodeFact(aNew);
    },
    aNew);
}

} // namespace papayaway
