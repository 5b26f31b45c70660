/** @file key_hash.cpp Computes SHA-256 with OpenSSL. */
#include "operators/key_hash_func.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace pollenstall {

std::string keyHash(std::string_view Key) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned HighNibble = 4;
  constexpr unsigned LowMask = 0xF;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(), Digest.data());
  std::string Text;
  Text.reserve(2 * Digest.size());
  for (const unsigned char Byte : Digest) {
    Text.push_back(Digits[Byte >> HighNibble]);
    Text.push_back(Digits[Byte & LowMask]);
  }
  return Text;
}

std::optional<std::string_view> bearerKey(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (Authorization.size() <= Scheme.size() || !Authorization.starts_with(Scheme))
    return std::nullopt;
  return Authorization.substr(Scheme.size());
}

bool equalInConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() && CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace pollenstall
