/** @file gossip_codec.cpp Encodes and decodes membership messages as datagrams. */
#include "gossip/gossip_codec_func.h"

#include "gossip/membership_codec_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace pollenstall {

namespace {

constexpr std::size_t TagBytes = 16; // HMAC-SHA256 truncated to 128 bits, as RFC 2104 allows

std::string tagOf(const std::string &Key, std::span<const char> Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(), Digest.data(), &Size);
  return {reinterpret_cast<const char *>(Digest.data()), TagBytes};
}

bool authentic(const std::string &Key, std::span<const char> Bytes, std::span<const char> Tag) {
  const std::string Expected = tagOf(Key, Bytes);
  return CRYPTO_memcmp(Expected.data(), Tag.data(), TagBytes) == 0;
}

datagram_error toDatagramError(wire_error Error) {
  switch (Error) {
  case wire_error::TooLarge:
    return datagram_error::TooLarge;
  case wire_error::OtherFleet:
  case wire_error::OtherVersion:
  case wire_error::OtherKind:
    return datagram_error::OtherFleet;
  case wire_error::Truncated:
  case wire_error::Malformed:
    break;
  }
  return datagram_error::Malformed;
}

} // namespace

std::string encodeDatagram(const gossip_secret &Secret, const membership_message &Message) {
  std::string Bytes = encodeEnvelope(Secret.Fleet, message_kind::Gossip, Message);
  if (!Secret.Key.empty())
    Bytes += tagOf(Secret.Key, Bytes);
  return Bytes;
}

result<membership_message, datagram_error> decodeDatagram(const gossip_secret &Secret,
                                                          std::span<const char> Bytes) {
  if (Bytes.size() > MaxDatagramBytes)
    return datagram_error::TooLarge;
  if (!Secret.Key.empty()) {
    if (Bytes.size() < TagBytes)
      return datagram_error::Unauthenticated;
    const std::span<const char> Tag = Bytes.last(TagBytes);
    Bytes = Bytes.first(Bytes.size() - TagBytes);
    if (!authentic(Secret.Key, Bytes, Tag))
      return datagram_error::Unauthenticated;
  }
  auto Decoded = decodeEnvelope<membership_message>(Secret.Fleet, message_kind::Gossip, Bytes,
                                                    MaxDatagramBytes);
  if (!succeeded(Decoded))
    return toDatagramError(errorOf(Decoded));
  return valueOf(std::move(Decoded));
}

} // namespace pollenstall
