/** @file gossip_codec_func.h Encodes and decodes membership messages as datagrams. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H
#define POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H

#include "gossip/gossip_type.h"

#include <span>
#include <string>

namespace pollenstall {

/// The fleet's name and key, with which datagrams are tagged and checked.
struct gossip_secret {
  std::string Fleet; ///< The fleet's name, at most MaxFleetBytes.
  std::string Key;   ///< Shared by all hosts; if empty, datagrams carry no tag.
};

/**
 * Returns the datagram: envelope, message and, if there is a key, the first 16 bytes of HMAC-SHA256
 * over both. A replayed datagram passes the check, but merging ignores the old state that it
 * contains, and an answer is accepted only if its nonce is pending.
 */
std::string encodeDatagram(const gossip_secret &Secret, const membership_message &Message);

/// Decodes a datagram. Checks sizes before any allocation; never throws.
result<membership_message, datagram_error> decodeDatagram(const gossip_secret &Secret,
                                                          std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H
