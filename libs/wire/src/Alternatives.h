#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "FieldReader.h"
#include "FieldWriter.h"

namespace papayaway {

/** Writes the index of the alternative under aKey, then its fields. The index
 *  is the type number on the wire, so alternatives keep their order. */
template<typename... Ts>
void
WriteVariant(FieldWriter& aWriter,
             const char* aKey,
             const std::variant<Ts...>& aValue)
{
  aWriter.Number(aKey, aValue.index());
  std::visit([&](const auto& aItem) { Describe(aWriter, aItem); }, aValue);
}

/** Reads what WriteVariant() wrote. */
template<typename... Ts>
void
ReadVariant(FieldReader& aReader, const char* aKey, std::variant<Ts...>& aValue)
{
  using Value = std::variant<Ts...>;
  using Read = void (*)(FieldReader&, Value&);
  static constexpr std::array<Read, sizeof...(Ts)> kReaders{
    [](FieldReader& aFields, Value& aTarget) {
      Describe(aFields, aTarget.template emplace<Ts>());
    }...
  };
  std::uint64_t index = 0;
  aReader.Number(aKey, index, sizeof...(Ts) - 1);
  if (aReader.Ok()) {
    kReaders[index](aReader, aValue);
  }
}

/** @return the CBOR form of what aWriter collected. */
inline std::string
ToCbor(const FieldWriter& aWriter)
{
  std::string bytes;
  nlohmann::json::to_cbor(aWriter.Json(), bytes);
  return bytes;
}

} // namespace papayaway
