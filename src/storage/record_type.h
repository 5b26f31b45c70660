/** @file record_type.h How a log entry stands in a segment. */
#ifndef POLLENSTALL_STORAGE_RECORD_TYPE_H
#define POLLENSTALL_STORAGE_RECORD_TYPE_H

#include "consensus/consensus_type.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Bytes before a record's payload.
constexpr std::size_t RecordHeaderSize = 44;
/// Longer payloads are not written, so a longer length is damage.
constexpr std::uint32_t MaxRecordPayload = 64U << 20U;

/// What reading at one offset found.
enum class record_status : std::uint8_t {
  Valid,
  Truncated,  ///< The bytes end before the record does.
  BadHeader,  ///< The header's checksum does not fit.
  BadPayload, ///< The header is right, the payload's checksum is not.
};

/// One record as read.
struct read_record {
  record_status Status{record_status::Truncated};
  log_entry Entry;
  std::uint64_t SyncedTo{0}; ///< Length of the segment that was synced when this was written.
  std::size_t Size{0};       ///< Header and payload; 0 unless the header is right.
};

/// @return CRC-32C (Castagnoli) of the bytes.
std::uint32_t checksum(std::string_view Bytes);

/// Adds the record of Entry to Bytes.
void appendRecord(std::string &Bytes, const log_entry &Entry, std::uint64_t SyncedTo);

/// @return What stands at the front of Bytes.
read_record readRecord(std::string_view Bytes);

/// Adds a number to Bytes, least significant byte first.
void appendNumber(std::string &Bytes, std::uint64_t Number, std::size_t Size);

/// @return The number in the first Size bytes; the caller knows that they are there.
std::uint64_t readNumber(std::string_view Bytes, std::size_t Size);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_RECORD_TYPE_H
