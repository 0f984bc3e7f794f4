#pragma once

#include <string>
#include <vector>

#include <rapidcheck/gtest.h>

#include <wire/Messages.h>

namespace papayaway {

inline rc::Gen<std::string>
AnyName()
{
  return rc::gen::element<std::string>("a", "b", "node-1", "a/b", "öö", "");
}

/** Has few values, so that facts of one key often have the same rank. */
inline rc::Gen<std::uint64_t>
SmallNumber()
{
  return rc::gen::inRange<std::uint64_t>(0, 4);
}

inline rc::Gen<Millis>
AnyTime()
{
  return rc::gen::map(rc::gen::inRange(0, 4000),
                      [](int aTenths) { return Millis{ aTenths / 10.0 }; });
}

/** Any enumerator up to aLast. */
template<typename Enum>
rc::Gen<Enum>
AnyEnum(Enum aLast)
{
  return rc::gen::map(rc::gen::inRange(0, static_cast<int>(aLast) + 1),
                      [](int aValue) { return static_cast<Enum>(aValue); });
}

inline rc::Gen<Fact>
AnyFact()
{
  using rc::gen::arbitrary;
  using rc::gen::build;
  using rc::gen::construct;
  using rc::gen::inRange;
  using rc::gen::map;
  const auto asFact = [](auto aTypedFact) {
    return Fact(std::move(aTypedFact));
  };
  return rc::gen::oneOf(
    map(construct<MemberFact>(AnyName(),
                              AnyName(),
                              AnyName(),
                              AnyName(),
                              AnyName(),
                              SmallNumber(),
                              AnyEnum(MemberState::Dead)),
        asFact),
    map(construct<EndpointFact>(AnyName(),
                                AnyName(),
                                AnyName(),
                                AnyName(),
                                AnyName(),
                                AnyEnum(EndpointState::Gone),
                                inRange(0, 3),
                                SmallNumber(),
                                SmallNumber()),
        asFact),
    map(construct<RelayFact>(AnyName(), AnyName(), AnyName(), SmallNumber()),
        asFact),
    map(construct<MoveFact>(AnyName(),
                            AnyName(),
                            inRange(0, 2),
                            AnyEnum(MoveState::TakenBack),
                            SmallNumber(),
                            inRange(0, 1001),
                            AnyTime(),
                            SmallNumber(),
                            AnyName()),
        asFact),
    map(construct<QuarantineFact>(
          AnyName(), AnyName(), arbitrary<bool>(), SmallNumber(), AnyTime()),
        asFact),
    map(construct<ConductorFact>(AnyName(), AnyName(), SmallNumber()), asFact));
}

} // namespace papayaway
