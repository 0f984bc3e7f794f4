#include "CborScan.h"

#include <array>
#include <cstdint>

#include <wire/Bounds.h>

namespace papayaway {

namespace {

/** Nesting levels, including that of the top-level value. */
constexpr std::size_t kMaxLevels = 6;

enum MajorType : std::uint8_t
{
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

class Scanner
{
public:
  explicit Scanner(std::string_view aBytes)
    : mBytes(aBytes)
  {
  }

  const char* Scan()
  {
    // For each open container, the number of its values still to be read.
    std::array<std::uint64_t, kMaxLevels> valuesLeft{ 1 };
    std::size_t level = 0;
    std::size_t values = 0;
    while (true) {
      while (valuesLeft[level] == 0) {
        if (level == 0) {
          return mPosition == mBytes.size() ? nullptr : "bytes after the value";
        }
        --level;
      }
      --valuesLeft[level];
      if (++values > kMaxValues) {
        return "too many values";
      }
      if (!ReadHead()) {
        return "malformed CBOR";
      }
      if (mType == Array || mType == Map) {
        if (++level == kMaxLevels) {
          return "too many nested levels";
        }
        valuesLeft[level] = mType == Map ? 2 * mLength : mLength;
      }
    }
  }

private:
  [[nodiscard]] std::uint64_t RemainingBytes() const
  {
    return mBytes.size() - mPosition;
  }

  /**
   * Reads the type and length of the next value and skips the content of
   * strings.
   *
   * @return false if the head is malformed, uses a tag or an indefinite length,
   *   or declares more bytes or items than the input has left.
   */
  bool ReadHead()
  {
    if (RemainingBytes() == 0) {
      return false;
    }
    const auto first = static_cast<std::uint8_t>(mBytes[mPosition++]);
    mType = first >> 5;
    const unsigned int detail = first & 0x1F;
    mLength = detail;
    if (detail >= 24) {
      if (detail > 27) {
        return false;
      }
      const std::size_t size = std::size_t{ 1 } << (detail - 24);
      if (RemainingBytes() < size) {
        return false;
      }
      mLength = 0;
      for (std::size_t i = 0; i < size; ++i) {
        mLength = mLength << 8 | static_cast<std::uint8_t>(mBytes[mPosition++]);
      }
    }
    switch (mType) {
      case Bytes:
      case Text:
        if (mLength > RemainingBytes()) {
          return false;
        }
        mPosition += mLength;
        return true;
      case Array:
      case Map:
        return mLength <= RemainingBytes();
      case Tag:
        return false;
      default:
        return true;
    }
  }

  std::string_view mBytes;
  std::size_t mPosition = 0;
  std::uint8_t mType = 0;
  std::uint64_t mLength = 0;
};

} // namespace

const char*
ScanCbor(std::string_view aBytes)
{
  return Scanner(aBytes).Scan();
}

} // namespace papayaway
