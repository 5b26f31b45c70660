/** @file hash_func.h Hashes that are the same in every process and build. */
#ifndef POLLENSTALL_CORE_HASH_FUNC_H
#define POLLENSTALL_CORE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace pollenstall {

constexpr std::uint64_t StableHashSeed = 0xCBF29CE484222325ULL; ///< FNV-1a offset basis.

/// @return FNV-1a hash of the bytes. Hosts compare such hashes, for example of records, placements
/// and prompt prefixes. Not safe for input chosen by an attacker.
/// @param Seed The hash of preceding bytes, to continue it, or a seed.
constexpr std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = StableHashSeed) {
  constexpr std::uint64_t Prime = 0x100000001B3ULL;
  std::uint64_t Hash = Seed;
  for (const char Byte : Bytes) {
    Hash ^= static_cast<unsigned char>(Byte);
    Hash *= Prime;
  }
  return Hash;
}

/// @return One well-mixed hash of both; the order matters.
constexpr std::uint64_t combineHashes(std::uint64_t First, std::uint64_t Second) {
  std::uint64_t Mixed = First ^ (Second + 0x9E3779B97F4A7C15ULL + (First << 6U) + (First >> 2U));
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31U);
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_HASH_FUNC_H
