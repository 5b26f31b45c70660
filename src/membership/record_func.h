/** @file record_func.h Subjects, versions and sizes of records. */
#ifndef POLLENSTALL_MEMBERSHIP_RECORD_FUNC_H
#define POLLENSTALL_MEMBERSHIP_RECORD_FUNC_H

#include "membership/membership_message_type.h"

#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// @return The subject of a host: a hash of its name, by which hosts identify its record when they
/// compare records.
std::uint64_t subjectOf(const host_name &Host);
/// @return The subject of a backend server: a hash of its address, the same for every incarnation.
std::uint64_t subjectOf(const backend_address &Address);

/// @return Whether a subject is a host; otherwise it is a backend server.
bool isHost(std::uint64_t Subject);

/// @return The sync bucket of a host's subject, in [BackendBuckets, SyncBuckets).
std::size_t hostBucket(std::uint64_t Subject);
/// @return The sync bucket of a backend server's subject, in [0, BackendBuckets).
std::size_t backendBucket(std::uint64_t Subject);

/// @return The version of a host's record.
subject_version versionOf(const host_record &Record);
/// @return The version of a backend server's record; Leaving outranks any sequence.
subject_version versionOf(const backend_announcement &Announcement, std::uint64_t Sequence);
/// @return Whether A replaces B; both must have the same subject.
bool newerThan(const subject_version &A, const subject_version &B);
/// @return A hash over all parts of the version.
std::uint64_t hashOf(const subject_version &Version);

/// @return An upper bound of the size on the wire in bytes.
std::size_t wireBytes(const host_record &Record);
std::size_t wireBytes(const backend_record &Record);
std::size_t wireBytes(const membership_message &Message);
constexpr std::size_t DigestWireBytes = 20;  ///< Size of one load_digest.
constexpr std::size_t VersionWireBytes = 24; ///< Size of one subject_version.
constexpr std::size_t PacketBytes = 28;      ///< IP and UDP headers.

/// @return Whether a record from the network is within the limits.
bool wellFormed(const host_record &Record);
bool wellFormed(const backend_record &Record);
bool wellFormed(const backend_announcement &Announcement);

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_RECORD_FUNC_H
