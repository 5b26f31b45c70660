/** @file gossip_codec_func.h A membership message as one datagram, and back. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H
#define POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H

#include "gossip/gossip_type.h"

#include <span>
#include <string>

namespace pollenstall {

/// What a datagram must carry to be believed.
struct gossip_secret {
  std::string Fleet; ///< At most MaxFleetBytes.
  std::string Key;   ///< Shared by all hosts; empty: datagrams carry no tag.
};

/**
 * @return The datagram: envelope, message, and where there is a key the first 16 bytes of
 * HMAC-SHA256 over both. A replayed datagram passes; it can only repeat what was true of its time,
 * which merging ignores, and answers are believed by their nonce only.
 */
std::string encodeDatagram(const gossip_secret &Secret, const membership_message &Message);

/// Reads a datagram. Sizes are checked before anything is allocated; never throws.
result<membership_message, datagram_error> decodeDatagram(const gossip_secret &Secret,
                                                          std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_GOSSIP_CODEC_FUNC_H
