/** @file record.cpp Records of a segment: length, index, term, kind and two checksums. */
#include "storage/record_type.h"

#include <boost/crc.hpp>

namespace pollenstall {

namespace {

constexpr std::uint32_t CastagnoliPolynomial = 0x1EDC6F41;
constexpr std::uint32_t AllOnes = 0xFFFFFFFF;
constexpr std::uint32_t RecordMark = 0x31434C50; ///< "PLC1" as bytes.
constexpr std::size_t Word = 4;
constexpr std::size_t DoubleWord = 8;
constexpr std::size_t CheckedHeaderSize = RecordHeaderSize - Word;
constexpr unsigned BitsPerByte = 8;

/// Takes numbers off the front of checked bytes.
class number_reader {
public:
  explicit number_reader(std::string_view Bytes) : Rest(Bytes) {}
  std::uint64_t take(std::size_t Size) {
    const std::uint64_t Number = readNumber(Rest, Size);
    Rest.remove_prefix(Size);
    return Number;
  }

private:
  std::string_view Rest;
};

bool isKind(std::uint64_t Number) {
  return Number <= static_cast<std::uint64_t>(entry_kind::Membership);
}

} // namespace

std::uint32_t checksum(std::string_view Bytes) {
  boost::crc_optimal<32, CastagnoliPolynomial, AllOnes, AllOnes, true, true> Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

void appendNumber(std::string &Bytes, std::uint64_t Number, std::size_t Size) {
  for (std::size_t Place = 0; Place < Size; ++Place) {
    Bytes.push_back(static_cast<char>(Number & 0xFFU));
    Number >>= BitsPerByte;
  }
}

std::uint64_t readNumber(std::string_view Bytes, std::size_t Size) {
  std::uint64_t Number = 0;
  for (std::size_t Place = Size; Place > 0; --Place)
    Number = (Number << BitsPerByte) | static_cast<unsigned char>(Bytes[Place - 1]);
  return Number;
}

void appendRecord(std::string &Bytes, const log_entry &Entry, std::uint64_t SyncedTo) {
  const std::size_t Start = Bytes.size();
  appendNumber(Bytes, RecordMark, Word);
  appendNumber(Bytes, Entry.Payload.size(), Word);
  appendNumber(Bytes, Entry.Index.value(), DoubleWord);
  appendNumber(Bytes, Entry.Term.value(), DoubleWord);
  appendNumber(Bytes, SyncedTo, DoubleWord);
  appendNumber(Bytes, static_cast<std::uint64_t>(Entry.Kind), Word);
  appendNumber(Bytes, checksum(Entry.Payload), Word);
  appendNumber(Bytes, checksum(std::string_view(Bytes).substr(Start)), Word);
  Bytes += Entry.Payload;
}

read_record readRecord(std::string_view Bytes) {
  read_record Record;
  if (Bytes.size() < RecordHeaderSize)
    return Record;
  Record.Finding = record_finding::BadHeader;
  const std::uint64_t HeaderSum = readNumber(Bytes.substr(CheckedHeaderSize), Word);
  if (checksum(Bytes.substr(0, CheckedHeaderSize)) != HeaderSum)
    return Record;
  number_reader Reader(Bytes);
  const std::uint64_t Mark = Reader.take(Word);
  const std::uint64_t Length = Reader.take(Word);
  Record.Entry.Index = log_index(Reader.take(DoubleWord));
  Record.Entry.Term = term_number(Reader.take(DoubleWord));
  Record.SyncedTo = Reader.take(DoubleWord);
  const std::uint64_t Kind = Reader.take(Word);
  const std::uint64_t PayloadSum = Reader.take(Word);
  if (Mark != RecordMark || Length > MaxRecordPayload || !isKind(Kind))
    return Record;
  Record.Entry.Kind = static_cast<entry_kind>(Kind);
  Record.Size = RecordHeaderSize + Length;
  Record.Finding = record_finding::Short;
  if (Bytes.size() < Record.Size)
    return Record;
  const std::string_view Payload = Bytes.substr(RecordHeaderSize, Length);
  const bool Right = checksum(Payload) == PayloadSum;
  Record.Finding = Right ? record_finding::Whole : record_finding::BadPayload;
  Record.Entry.Payload = std::string(Payload);
  return Record;
}

} // namespace pollenstall
