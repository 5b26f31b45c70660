/** @file random_type.h Seeded random numbers; a seed gives the same numbers on every machine. */
#ifndef POLLENSTALL_CORE_RANDOM_TYPE_H
#define POLLENSTALL_CORE_RANDOM_TYPE_H

#include <cstdint>
#include <limits>

namespace pollenstall {

/**
 * The SplitMix64 generator (Steele, Lea, Flood 2014): small, fast and, unlike the distributions of
 * std, specified to the bit. A seed that makes a test fail does so on every machine.
 */
class random_source {
public:
  using result_type = std::uint64_t;

  explicit random_source(std::uint64_t Seed) : State(Seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

  /// @return 64 random bits.
  result_type operator()() {
    constexpr std::uint64_t GoldenGamma = 0x9E3779B97F4A7C15ULL;
    State += GoldenGamma;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
    return Mixed ^ (Mixed >> 31U);
  }

  /// @return A number in [0, Bound); 0 if Bound is 0.
  std::uint64_t below(std::uint64_t Bound) { return Bound == 0 ? 0 : (*this)() % Bound; }

  /// @return A number in [0, 1).
  double uniform() {
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^53
    return static_cast<double>((*this)() >> 11U) * Scale;
  }

  /// @return True with the given probability.
  bool chance(double Probability) { return uniform() < Probability; }

private:
  std::uint64_t State;
};

} // namespace pollenstall

#endif // POLLENSTALL_CORE_RANDOM_TYPE_H
