#include <base/Hash.h>

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace papayaway {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

} // namespace

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
HexDigits(std::uint64_t aValue)
{
  std::string text(16, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = kHexDigits[(aValue >> (4 * i)) & 0xF];
  }
  return text;
}

std::string
HmacSha256(std::string_view aKey, std::string_view aMessage)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aMessage.data()),
       aMessage.size(),
       digest.data(),
       &length);
  std::string text;
  text.reserve(2 * length);
  for (unsigned int i = 0; i < length; ++i) {
    text += kHexDigits[digest[i] >> 4];
    text += kHexDigits[digest[i] & 0xF];
  }
  return text;
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace papayaway
