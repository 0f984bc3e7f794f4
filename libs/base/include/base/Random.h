#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace papayaway {

/** The random number generator. Code that makes random decisions takes it as an
 *  argument, so that tests can seed it. */
using Random = std::mt19937_64;

/** @return a uniformly distributed value in [0, 1). */
inline double
UniformFraction(Random& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

/** @return a uniformly distributed value in [0, aBound); aBound is at least
 *    1. */
inline std::uint64_t
UniformBelow(Random& aRandom, std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(aRandom);
}

/** @return a generator seeded from the operating system's entropy source. */
Random SeededFromSystem();

/** @return 32 random hexadecimal digits, for ids of operations and requests. */
std::string RandomId(Random& aRandom);

} // namespace papayaway
