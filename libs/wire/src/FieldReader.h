#pragma once

#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <base/Millis.h>
#include <wire/Bounds.h>

namespace papayaway {

/** @return whether aText is well-formed UTF-8. */
bool IsUtf8(std::string_view aText);

/** Reads the fields of one message from a JSON object and checks their types
 *  and bounds. After the first fault, which Fault() describes, further reads
 *  have no effect. */
class FieldReader
{
public:
  explicit FieldReader(const nlohmann::json& aMap)
    : mMap(&aMap)
  {
    if (!aMap.is_object()) {
      mFault = "not a map";
    }
  }

  void Unsigned(const char* aKey,
                std::uint64_t& aValue,
                std::uint64_t aMax = kMaxCounter)
  {
    const nlohmann::json* const value = Find(aKey);
    if (value == nullptr || !Check(aKey, value->is_number_unsigned())) {
      return;
    }
    const auto number = value->get<std::uint64_t>();
    if (Check(aKey, number <= aMax)) {
      aValue = number;
    }
  }

  void Integer(const char* aKey, int& aValue, int aMin, int aMax)
  {
    std::uint64_t number = 0;
    Unsigned(aKey, number, static_cast<std::uint64_t>(aMax));
    if (Ok() && Check(aKey, static_cast<int>(number) >= aMin)) {
      aValue = static_cast<int>(number);
    }
  }

  void Real(const char* aKey, double& aValue)
  {
    const nlohmann::json* const value = Find(aKey);
    if (value == nullptr || !Check(aKey, value->is_number_float())) {
      return;
    }
    const auto number = value->get<double>();
    if (Check(aKey, std::isfinite(number) && number >= 0)) {
      // Adding 0.0 turns -0.0 into 0.0.
      aValue = number + 0.0;
    }
  }

  void Time(const char* aKey, Millis& aValue)
  {
    double number = 0;
    Real(aKey, number);
    if (Ok() && Check(aKey, number <= Never().mCount)) {
      aValue = Millis{ number };
    }
  }

  void Flag(const char* aKey, bool& aValue)
  {
    const nlohmann::json* const value = Find(aKey);
    if (value != nullptr && Check(aKey, value->is_boolean())) {
      aValue = value->get<bool>();
    }
  }

  template<typename Enum>
  void EnumValue(const char* aKey, Enum& aValue, Enum aLast)
  {
    std::uint64_t number = 0;
    Unsigned(aKey, number, static_cast<std::uint64_t>(aLast));
    if (Ok()) {
      aValue = static_cast<Enum>(number);
    }
  }

  void Text(const char* aKey, std::string& aValue, std::size_t aMax)
  {
    const nlohmann::json* const value = Find(aKey);
    if (value == nullptr || !Check(aKey, value->is_string())) {
      return;
    }
    const auto& text = value->get_ref<const std::string&>();
    if (Check(aKey, text.size() <= aMax && IsUtf8(text))) {
      aValue = text;
    }
  }

  void Bytes(const char* aKey, std::string& aValue, std::size_t aMax)
  {
    const nlohmann::json* const value = Find(aKey);
    if (value != nullptr) {
      ReadBinary(aKey, *value, aValue, aMax);
    }
  }

  void Headers(const char* aKey,
               std::vector<std::pair<std::string, std::string>>& aFields)
  {
    const nlohmann::json* const list = FindList(aKey, 2 * kMaxHeaders);
    if (list == nullptr || !Check(aKey, list->size() % 2 == 0)) {
      return;
    }
    aFields.resize(list->size() / 2);
    for (std::size_t i = 0; i < aFields.size(); ++i) {
      ReadBinary(aKey, (*list)[2 * i], aFields[i].first, kMaxName);
      ReadBinary(aKey, (*list)[2 * i + 1], aFields[i].second, kMaxHeaderValue);
    }
  }

  /** Reads a list that must have as many numbers as aValues. */
  template<typename Range>
  void UnsignedArray(const char* aKey, Range& aValues)
  {
    const nlohmann::json* const list = FindList(aKey, aValues.size());
    if (list == nullptr || !Check(aKey, list->size() == aValues.size())) {
      return;
    }
    for (std::size_t i = 0; i < aValues.size(); ++i) {
      if (!Check(aKey, (*list)[i].is_number_unsigned())) {
        return;
      }
      aValues[i] = (*list)[i].template get<std::uint64_t>();
    }
  }

  /** Reads a list of maps, each by a call of aRead(FieldReader&, Item&). */
  template<typename Item, typename Read>
  void List(const char* aKey,
            std::vector<Item>& aItems,
            std::size_t aMax,
            Read aRead)
  {
    const nlohmann::json* const list = FindList(aKey, aMax);
    if (list == nullptr) {
      return;
    }
    aItems.reserve(list->size());
    for (const nlohmann::json& map : *list) {
      FieldReader reader(map);
      aRead(reader, aItems.emplace_back());
      if (!reader.Ok()) {
        mFault = std::string(aKey) + ": " + reader.mFault;
        return;
      }
    }
  }

  void Refuse(std::string aFault)
  {
    if (Ok()) {
      mFault = std::move(aFault);
    }
  }

  [[nodiscard]] bool Ok() const { return mFault.empty(); }
  [[nodiscard]] const std::string& Fault() const { return mFault; }

private:
  const nlohmann::json* Find(const char* aKey)
  {
    if (!Ok()) {
      return nullptr;
    }
    const auto found = mMap->find(aKey);
    if (found == mMap->end()) {
      mFault = std::string("field ") + aKey + " is missing";
      return nullptr;
    }
    return &*found;
  }

  const nlohmann::json* FindList(const char* aKey, std::size_t aMax)
  {
    const nlohmann::json* const list = Find(aKey);
    return list != nullptr &&
               Check(aKey, list->is_array() && list->size() <= aMax)
             ? list
             : nullptr;
  }

  void ReadBinary(const char* aKey,
                  const nlohmann::json& aJson,
                  std::string& aValue,
                  std::size_t aMax)
  {
    if (!Check(aKey, aJson.is_binary())) {
      return;
    }
    const auto& bytes = aJson.get_binary();
    if (Check(aKey, bytes.size() <= aMax)) {
      aValue.assign(bytes.begin(), bytes.end());
    }
  }

  bool Check(const char* aKey, bool aValid)
  {
    if (!aValid && Ok()) {
      mFault = std::string("field ") + aKey + " has a wrong type or is " +
               "out of bounds";
    }
    return Ok();
  }

  const nlohmann::json* mMap;
  std::string mFault;
};

} // namespace papayaway
