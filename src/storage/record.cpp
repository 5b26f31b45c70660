/** @file record.cpp Records of a segment: length, index, term, kind and two checksums. */
#include "storage/record_type.h"

#include <boost/crc.hpp>

namespace pollenstall {

namespace {

constexpr std::uint32_t CastagnoliPolynomial = 0x1EDC6F41;
constexpr std::uint32_t AllOnes = 0xFFFFFFFF;
constexpr std::uint32_t RecordMagic = 0x31434C50; ///< "PLC1" as bytes.
constexpr std::size_t Uint32Size = 4;
constexpr std::size_t Uint64Size = 8;
constexpr std::size_t CheckedHeaderSize = RecordHeaderSize - Uint32Size;
constexpr unsigned BitsPerByte = 8;

/// Takes numbers from the front of a header with a verified checksum.
class number_reader {
public:
  explicit number_reader(std::string_view Bytes) : Remaining(Bytes) {}
  std::uint64_t takeNumber(std::size_t Size) {
    const std::uint64_t Number = readNumber(Remaining, Size);
    Remaining.remove_prefix(Size);
    return Number;
  }

private:
  std::string_view Remaining;
};

bool isEntryKind(std::uint64_t Number) {
  return Number <= static_cast<std::uint64_t>(entry_kind::Membership);
}

} // namespace

std::uint32_t checksum(std::string_view Bytes) {
  boost::crc_optimal<32, CastagnoliPolynomial, AllOnes, AllOnes, true, true> Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

void appendNumber(std::string &Bytes, std::uint64_t Number, std::size_t Size) {
  for (std::size_t ByteIndex = 0; ByteIndex < Size; ++ByteIndex) {
    Bytes.push_back(static_cast<char>(Number & 0xFFU));
    Number >>= BitsPerByte;
  }
}

std::uint64_t readNumber(std::string_view Bytes, std::size_t Size) {
  std::uint64_t Number = 0;
  for (std::size_t ByteIndex = Size; ByteIndex > 0; --ByteIndex)
    Number = (Number << BitsPerByte) | static_cast<unsigned char>(Bytes[ByteIndex - 1]);
  return Number;
}

void appendRecord(std::string &Bytes, const log_entry &Entry, std::uint64_t SyncedTo) {
  const std::size_t Start = Bytes.size();
  appendNumber(Bytes, RecordMagic, Uint32Size);
  appendNumber(Bytes, Entry.Payload.size(), Uint32Size);
  appendNumber(Bytes, Entry.Index.value(), Uint64Size);
  appendNumber(Bytes, Entry.Term.value(), Uint64Size);
  appendNumber(Bytes, SyncedTo, Uint64Size);
  appendNumber(Bytes, static_cast<std::uint64_t>(Entry.Kind), Uint32Size);
  appendNumber(Bytes, checksum(Entry.Payload), Uint32Size);
  appendNumber(Bytes, checksum(std::string_view(Bytes).substr(Start)), Uint32Size);
  Bytes += Entry.Payload;
}

read_record readRecord(std::string_view Bytes) {
  read_record Record;
  if (Bytes.size() < RecordHeaderSize)
    return Record;
  Record.Status = record_status::BadHeader;
  const std::uint64_t HeaderChecksum = readNumber(Bytes.substr(CheckedHeaderSize), Uint32Size);
  if (checksum(Bytes.substr(0, CheckedHeaderSize)) != HeaderChecksum)
    return Record;
  number_reader Reader(Bytes);
  const std::uint64_t Magic = Reader.takeNumber(Uint32Size);
  const std::uint64_t Length = Reader.takeNumber(Uint32Size);
  Record.Entry.Index = log_index(Reader.takeNumber(Uint64Size));
  Record.Entry.Term = term_number(Reader.takeNumber(Uint64Size));
  Record.SyncedTo = Reader.takeNumber(Uint64Size);
  const std::uint64_t Kind = Reader.takeNumber(Uint32Size);
  const std::uint64_t PayloadChecksum = Reader.takeNumber(Uint32Size);
  if (Magic != RecordMagic || Length > MaxRecordPayload || !isEntryKind(Kind))
    return Record;
  Record.Entry.Kind = static_cast<entry_kind>(Kind);
  Record.Size = RecordHeaderSize + Length;
  Record.Status = record_status::Truncated;
  if (Bytes.size() < Record.Size)
    return Record;
  const std::string_view Payload = Bytes.substr(RecordHeaderSize, Length);
  const bool PayloadValid = checksum(Payload) == PayloadChecksum;
  Record.Status = PayloadValid ? record_status::Valid : record_status::BadPayload;
  Record.Entry.Payload = std::string(Payload);
  return Record;
}

} // namespace pollenstall
