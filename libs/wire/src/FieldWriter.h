#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>

namespace papayaway {

/** Collects the fields of one message in a JSON object. It has the interface
 *  of FieldReader but ignores the bounds, which only the reader checks. */
class FieldWriter
{
public:
  void Unsigned(const char* aKey, std::uint64_t aValue, std::uint64_t = 0)
  {
    mMap[aKey] = aValue;
  }

  void Integer(const char* aKey, int aValue, int /*aMin*/, int /*aMax*/)
  {
    mMap[aKey] = static_cast<std::uint64_t>(aValue < 0 ? 0 : aValue);
  }

  void Real(const char* aKey, double aValue) { mMap[aKey] = aValue; }

  void Time(const char* aKey, Millis aValue) { Real(aKey, aValue.mCount); }

  void Flag(const char* aKey, bool aValue) { mMap[aKey] = aValue; }

  template<typename Enum>
  void EnumValue(const char* aKey, Enum aValue, Enum /*aLast*/)
  {
    mMap[aKey] = static_cast<std::uint64_t>(aValue);
  }

  void Text(const char* aKey, const std::string& aValue, std::size_t)
  {
    mMap[aKey] = aValue;
  }

  void Bytes(const char* aKey, const std::string& aValue, std::size_t)
  {
    mMap[aKey] = MakeBinary(aValue);
  }

  void Headers(const char* aKey,
               const std::vector<std::pair<std::string, std::string>>& aFields)
  {
    nlohmann::json::array_t list;
    list.reserve(2 * aFields.size());
    for (const auto& [name, value] : aFields) {
      list.push_back(MakeBinary(name));
      list.push_back(MakeBinary(value));
    }
    mMap[aKey] = std::move(list);
  }

  template<typename Range>
  void UnsignedArray(const char* aKey, const Range& aValues)
  {
    mMap[aKey] = nlohmann::json::array_t(aValues.begin(), aValues.end());
  }

  /** Writes a list of maps, each by a call of
   *  aWrite(FieldWriter&, const Item&). */
  template<typename Item, typename Write>
  void List(const char* aKey,
            const std::vector<Item>& aItems,
            std::size_t /*aMax*/,
            Write aWrite)
  {
    nlohmann::json::array_t list;
    list.reserve(aItems.size());
    for (const Item& item : aItems) {
      FieldWriter writer;
      aWrite(writer, item);
      list.push_back(std::move(writer.mMap));
    }
    mMap[aKey] = std::move(list);
  }

  [[nodiscard]] const nlohmann::json& Json() const { return mMap; }

private:
  static nlohmann::json MakeBinary(const std::string& aBytes)
  {
    return nlohmann::json::binary({ aBytes.begin(), aBytes.end() });
  }

  nlohmann::json mMap = nlohmann::json::object();
};

} // namespace papayaway
