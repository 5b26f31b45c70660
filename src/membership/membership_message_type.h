/** @file membership_message_type.h Messages between hosts about the fleet; each fits one
 * datagram. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_MESSAGE_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_MESSAGE_TYPE_H

#include "membership/membership_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace pollenstall {

constexpr std::size_t BackendBuckets = 32; ///< Groups of backend records compared in a sync.
constexpr std::size_t HostBuckets = 16;    ///< Groups of host records compared in a sync.
constexpr std::size_t SyncBuckets = BackendBuckets + HostBuckets;
/// Bits of a bucket mask that stand for backend records.
constexpr std::uint64_t BackendBucketMask = (1ULL << BackendBuckets) - 1;

constexpr std::size_t MaxDatagramBytes = 1200; ///< Header and tag included; under any path MTU.
constexpr std::size_t MaxNameBytes = 64;       ///< Of a host, a failure domain or an address.
constexpr std::size_t MaxHostAddresses = 4;    ///< Addresses of one host.
constexpr std::size_t MaxRecordBytes = 900;    ///< Bytes of one record, so that it fits a datagram.
constexpr std::size_t MaxMessageItems = 64;    ///< Elements of any list in a message.

/// A claim about one host. Claims are ordered by incarnation, then Left, then refutation number,
/// then status; see versionOf().
struct host_record {
  process_key Key;
  failure_domain_name Domain;
  std::vector<peer_address> Addresses; ///< At most MaxHostAddresses; the first is preferred.
  std::uint32_t Refutation{0};         ///< Raised by the host itself to refute a suspicion.
  host_status Status{host_status::Alive};
  host_name Accuser; ///< The host that got no answer; counts independent suspicions.

  bool operator==(const host_record &) const = default;
};

/**
 * A backend server's load and heartbeat in 20 bytes on the wire. Amounts are packed to 16 bits with
 * an error under 0.1 per cent (see load_digest_func.h).
 */
struct load_digest {
  std::uint32_t Backend{0};  ///< Short hash of the backend key.
  std::uint32_t Sequence{0}; ///< Low half of backend_load::Sequence.
  std::uint16_t AgeFlags{0}; ///< Age in 50 ms steps, Leaving and Lost.
  std::uint16_t Running{0};  ///< Saturates.
  std::uint16_t Waiting{0};  ///< Saturates.
  std::uint16_t Prefill{0};  ///< Packed.
  std::uint16_t Used{0};     ///< Packed.
  std::uint16_t Cached{0};   ///< Packed.

  bool operator==(const load_digest &) const = default;
};

/// A backend server's full record.
struct backend_record {
  backend_announcement Announcement;
  std::uint64_t Sequence{0};     ///< backend_load::Sequence at which the announcement last changed.
  std::uint64_t LoadSequence{0}; ///< All 64 bits of Load.Sequence.
  load_digest Load;
  bool Tombstone{false}; ///< Only the key and Leaving remain: the backend server was lost long ago.

  bool operator==(const backend_record &) const = default;
};

/// Probes a process. Only the named process answers, so that a process at a reused address does not
/// answer for its predecessor.
struct ping {
  std::uint64_t Nonce{0};
  process_key Target;
};
/// Answers a ping, directly or through the host that relayed it.
struct ping_ack {
  std::uint64_t Nonce{0};
  process_key Target; ///< The process that answers.
};
/// Requests an indirect ping, for the case that only the requester's path to the target is cut.
struct ping_request {
  std::uint64_t Nonce{0};
  process_key Target;
  peer_address Address;
};
/// Starts an anti-entropy exchange.
struct sync_request {
  std::uint64_t Nonce{0};
  std::array<std::uint64_t, SyncBuckets> Buckets{}; ///< Hash over the records of each bucket.
};
/// The version of one record, for comparison between hosts.
struct subject_version {
  std::uint64_t Subject{0}; ///< Hash of the host's name or the backend server's address.
  std::uint64_t Incarnation{0};
  std::uint64_t Version{0};

  bool operator==(const subject_version &) const = default;
};
/// Answers a sync_request.
struct sync_versions {
  std::uint64_t Nonce{0};
  std::uint64_t Differing{0}; ///< Buckets whose hashes differ.
  std::uint64_t Covered{0};   ///< Differing buckets that are listed in full here.
  std::vector<subject_version> Versions;
};
/// Requests records.
struct sync_fetch {
  std::vector<std::uint64_t> Subjects;
};
/// Requests the latest load reports of backend servers, before they are marked as lost.
struct load_query {
  std::vector<std::uint32_t> Backends;
};
/// No content besides the records that every message carries.
struct record_updates {};

using membership_body = std::variant<record_updates, ping, ping_ack, ping_request, sync_request,
                                     sync_versions, sync_fetch, load_query>;

/// One datagram.
struct membership_message {
  process_key Sender;
  membership_body Body;
  std::vector<host_record> Hosts;
  std::vector<backend_record> Backends;
  std::vector<load_digest> Loads;
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_MESSAGE_TYPE_H
