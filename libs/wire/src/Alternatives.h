#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "FieldReader.h"
#include "FieldWriter.h"

namespace papayaway {

/** Writes the index of the active alternative under aKey, then the fields of
 *  the alternative. The index is the type number on the wire, so alternatives
 *  must not be reordered. */
template<typename... Ts>
void
WriteVariant(FieldWriter& aWriter,
             const char* aKey,
             const std::variant<Ts...>& aValue)
{
  aWriter.Unsigned(aKey, aValue.index());
  std::visit([&](const auto& aItem) { Describe(aWriter, aItem); }, aValue);
}

/** Reads an alternative written by WriteVariant() and its fields. */
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
  aReader.Unsigned(aKey, index, sizeof...(Ts) - 1);
  if (aReader.Ok()) {
    kReaders[index](aReader, aValue);
  }
}

/** @return the CBOR encoding of the fields in aWriter. */
inline std::string
ToCbor(const FieldWriter& aWriter)
{
  std::string bytes;
  nlohmann::json::to_cbor(aWriter.Json(), bytes);
  return bytes;
}

} // namespace papayaway
