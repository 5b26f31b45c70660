/** @file envelope_func.h Encodes and decodes messages in an envelope with kind and fleet name. */
#ifndef POLLENSTALL_WIRE_ENVELOPE_FUNC_H
#define POLLENSTALL_WIRE_ENVELOPE_FUNC_H

#include "core/core.h"
#include "wire/bounded_archive.h"
#include "wire/wire_type.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace pollenstall {

/// Protocol of a message. A port rejects messages of other protocols.
enum class message_kind : std::uint16_t {
  Gossip = 1,       ///< UDP between hosts.
  Consensus = 2,    ///< TCP between control hosts.
  ControlLink = 3,  ///< TCP between an entry and a control host.
  State = 4,        ///< Records in files of a control host.
  WorkShare = 6,    ///< UDP between entries. 5 belonged to a retired format.
  Permits = 7,      ///< UDP between entries.
  RetryLoans = 8,   ///< UDP between entries.
  WaitingWork = 9,  ///< UDP between entries.
  ColdPermits = 10, ///< UDP between entries.
};

/// @return The encoded message without an envelope.
template <typename Message> std::string encodePlain(const Message &Value) {
  std::string Bytes;
  string_output_archive Archive(Bytes);
  Archive(Value);
  return Bytes;
}

/// Reads the final value of an archive; remaining bytes are an error. May throw as cereal does.
template <typename Message>
result<Message, wire_error> readFinalValue(bounded_input_archive &Archive) {
  Message Value{};
  Archive(Value);
  if (Archive.remaining() != 0)
    return wire_error::Malformed;
  return Value;
}

/// Runs a reader and converts exceptions of cereal to a wire_error.
template <typename Message, typename Reader>
result<Message, wire_error> catchDecodingErrors(Reader &&Read) {
  try {
    return Read();
  } catch (const truncated_message &) {
    return wire_error::Truncated;
  } catch (const std::exception &) {
    // A variant's index is out of range, or a count exceeds the maximum size of a container.
    return wire_error::Malformed;
  }
}

/// Decodes a message that must span all bytes. Never throws, and the number of bytes bounds every
/// allocation.
template <typename Message> result<Message, wire_error> decodePlain(std::span<const char> Bytes) {
  return catchDecodingErrors<Message>([Bytes] {
    bounded_input_archive Archive(Bytes);
    return readFinalValue<Message>(Archive);
  });
}

/// Header that precedes every message.
struct envelope_header {
  std::uint32_t Magic{0};
  std::uint16_t Version{0};
  std::uint16_t Kind{0};
  std::string Fleet;

  template <typename Archive> void serialize(Archive &Into) { Into(Magic, Version, Kind, Fleet); }
};

/// @return The header of messages of this fleet and kind.
envelope_header makeEnvelopeHeader(std::string_view Fleet, message_kind Kind);

/// @return An error if the header does not match the fleet, the version or the kind.
result<done, wire_error> checkEnvelopeHeader(const envelope_header &Header, std::string_view Fleet,
                                             message_kind Kind);

/// @return The encoded header and message.
template <typename Message>
std::string encodeEnvelope(std::string_view Fleet, message_kind Kind, const Message &Value) {
  std::string Bytes;
  string_output_archive Archive(Bytes);
  Archive(makeEnvelopeHeader(Fleet, Kind), Value);
  return Bytes;
}

/// Decodes header and message. @param Limit A larger message is rejected without decoding.
template <typename Message>
result<Message, wire_error> decodeEnvelope(std::string_view Fleet, message_kind Kind,
                                           std::span<const char> Bytes, std::size_t Limit) {
  if (Bytes.size() > Limit)
    return wire_error::TooLarge;
  return catchDecodingErrors<Message>([&]() -> result<Message, wire_error> {
    bounded_input_archive Archive(Bytes);
    envelope_header Header;
    Archive(Header);
    const auto Checked = checkEnvelopeHeader(Header, Fleet, Kind);
    if (!succeeded(Checked))
      return errorOf(Checked);
    return readFinalValue<Message>(Archive);
  });
}

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_ENVELOPE_FUNC_H
