#include <base/Random.h>

#include <base/Hash.h>

namespace papayaway {

Random
SeededFromSystem()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return Random(seed);
}

std::string
RandomId(Random& aRandom)
{
  const std::string high = HexDigits(aRandom());
  return high + HexDigits(aRandom());
}

} // namespace papayaway
