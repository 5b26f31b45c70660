/** @file envelope.cpp The head of every message between the system's processes. */
#include "wire/envelope_func.h"

namespace pollenstall {

namespace {

constexpr std::uint32_t EnvelopeMagic = 0x50535431; // "PST1"

} // namespace

envelope_head headFor(std::string_view Fleet, message_kind Kind) {
  return {EnvelopeMagic, WireVersion, static_cast<std::uint16_t>(Kind), std::string(Fleet)};
}

result<done, wire_error> checkHead(const envelope_head &Head, std::string_view Fleet,
                                   message_kind Kind) {
  if (Head.Magic != EnvelopeMagic || Head.Fleet != Fleet)
    return wire_error::OtherFleet;
  if (Head.Version != WireVersion)
    return wire_error::OtherVersion;
  if (Head.Kind != static_cast<std::uint16_t>(Kind))
    return wire_error::OtherKind;
  return done{};
}

} // namespace pollenstall
