/** @file envelope.cpp Makes and checks the header of messages between processes. */
#include "wire/envelope_func.h"

namespace pollenstall {

namespace {

constexpr std::uint32_t EnvelopeMagic = 0x50535431; // "PST1"

} // namespace

envelope_header makeEnvelopeHeader(std::string_view Fleet, message_kind Kind) {
  return {EnvelopeMagic, WireVersion, static_cast<std::uint16_t>(Kind), std::string(Fleet)};
}

result<done, wire_error> checkEnvelopeHeader(const envelope_header &Header, std::string_view Fleet,
                                             message_kind Kind) {
  if (Header.Magic != EnvelopeMagic || Header.Fleet != Fleet)
    return wire_error::OtherFleet;
  if (Header.Version != WireVersion)
    return wire_error::OtherVersion;
  if (Header.Kind != static_cast<std::uint16_t>(Kind))
    return wire_error::OtherKind;
  return done{};
}

} // namespace pollenstall
