/** @file claim_key.cpp Hashes idempotency keys, so that no key is written to disk. */
#include "control_link/claim_key_func.h"

#include <openssl/sha.h>

#include <array>

namespace pollenstall {

namespace {

constexpr unsigned BitsPerByte = 8;

std::uint64_t bigEndian(const unsigned char *Bytes) {
  std::uint64_t Value = 0;
  for (std::size_t Index = 0; Index < sizeof(Value); ++Index)
    Value = (Value << BitsPerByte) | Bytes[Index];
  return Value;
}

} // namespace

claim_key_hash claimKeyHash(std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(), Digest.data());
  return {bigEndian(Digest.data()), bigEndian(Digest.data() + sizeof(std::uint64_t))};
}

} // namespace pollenstall
