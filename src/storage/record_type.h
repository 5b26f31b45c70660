/** @file record_type.h Encoding of log entries in segment files. */
#ifndef POLLENSTALL_STORAGE_RECORD_TYPE_H
#define POLLENSTALL_STORAGE_RECORD_TYPE_H

#include "consensus/consensus_type.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Bytes before a record's payload.
constexpr std::size_t RecordHeaderSize = 44;
/// No longer payload is ever written, so a greater length is corruption.
constexpr std::uint32_t MaxRecordPayload = 64U << 20U;

/// Result of reading a record at an offset.
enum class record_status : std::uint8_t {
  Valid,
  Truncated,  ///< The bytes end before the end of the record.
  BadHeader,  ///< The header's checksum does not match, or a header field is invalid.
  BadPayload, ///< The header is valid, but the payload's checksum does not match.
};

/// A record read from a segment.
struct read_record {
  record_status Status{record_status::Truncated};
  log_entry Entry;
  std::uint64_t SyncedTo{0}; ///< Synced length of the segment when this record was written.
  std::size_t Size{0};       ///< Header and payload; 0 unless the header is valid.
};

/// @return CRC-32C (Castagnoli) of the bytes.
std::uint32_t checksum(std::string_view Bytes);

/// Appends the record of Entry to Bytes.
void appendRecord(std::string &Bytes, const log_entry &Entry, std::uint64_t SyncedTo);

/// @return The record at the start of Bytes.
read_record readRecord(std::string_view Bytes);

/// Appends a number of Size bytes to Bytes in little-endian order.
void appendNumber(std::string &Bytes, std::uint64_t Number, std::size_t Size);

/// @return The little-endian number in the first Size bytes. Bytes must have at least Size bytes.
std::uint64_t readNumber(std::string_view Bytes, std::size_t Size);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_RECORD_TYPE_H
