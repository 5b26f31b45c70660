/** @file work_report_codec.cpp Encodes each load in 20 bytes. */
#include "work_share/work_report_codec_func.h"

#include <algorithm>
#include <limits>

namespace pollenstall {

namespace {

/// Number of tokens in one unit of memory on the wire.
constexpr std::uint32_t MemoryUnit = 64;

template <typename Unsigned> Unsigned saturate(std::uint32_t Value) {
  return static_cast<Unsigned>(
      std::min<std::uint32_t>(Value, std::numeric_limits<Unsigned>::max()));
}

/// A work_load as encoded on the wire.
struct packed_load {
  incarnation Incarnation;
  std::uint8_t Requests{0};
  std::uint8_t DecodingRequests{0};
  std::uint16_t PrefillMs{0};
  std::uint16_t MemoryUnits{0};
  std::uint16_t GapMs{0};
  std::uint32_t LowestClaimRank{0};

  template <typename Archive> void serialize(Archive &Into) {
    Into(Incarnation, Requests, DecodingRequests, PrefillMs, MemoryUnits, GapMs, LowestClaimRank);
  }
};

struct packed_report {
  process_key Sender;
  std::uint64_t Sequence{0};
  report_scope Scope{report_scope::Own};
  bool Urgent{false};
  std::vector<packed_load> Loads;

  template <typename Archive> void serialize(Archive &Into) {
    Into(Sender, Sequence, Scope, Urgent, Loads);
  }
};

packed_load pack(const work_load &Load) {
  packed_load Packed;
  Packed.Incarnation = Load.Incarnation;
  Packed.Requests = saturate<std::uint8_t>(Load.Requests);
  Packed.DecodingRequests = saturate<std::uint8_t>(Load.DecodingRequests);
  Packed.PrefillMs = saturate<std::uint16_t>(Load.PrefillMs);
  Packed.MemoryUnits = saturate<std::uint16_t>(
      Load.Tokens / MemoryUnit + static_cast<std::uint32_t>(Load.Tokens % MemoryUnit > 0));
  Packed.GapMs = saturate<std::uint16_t>(Load.GapMs);
  Packed.LowestClaimRank = Load.LowestClaimRank;
  return Packed;
}

work_load unpack(const packed_load &Packed) {
  work_load Load;
  Load.Incarnation = Packed.Incarnation;
  Load.Requests = Packed.Requests;
  Load.DecodingRequests = Packed.DecodingRequests;
  Load.PrefillMs = Packed.PrefillMs;
  Load.Tokens = Packed.MemoryUnits * MemoryUnit;
  Load.GapMs = Packed.GapMs;
  Load.LowestClaimRank = Packed.LowestClaimRank;
  return Load;
}

} // namespace

std::string encodeWorkReport(const std::string &Fleet, const work_report &Report) {
  packed_report Packed{Report.Sender, Report.Sequence, Report.Scope, Report.Urgent, {}};
  for (const work_load &Load : Report.Loads)
    Packed.Loads.push_back(pack(Load));
  return encodeEnvelope(Fleet, message_kind::WorkShare, Packed);
}

result<work_report, wire_error> decodeWorkReport(const std::string &Fleet,
                                                 std::span<const char> Bytes) {
  const auto Decoded =
      decodeEnvelope<packed_report>(Fleet, message_kind::WorkShare, Bytes, MaxReportBytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  const packed_report &Packed = valueOf(Decoded);
  if (Packed.Scope > report_scope::Withdrawn)
    return wire_error::Malformed;
  work_report Report{Packed.Sender, Packed.Sequence, Packed.Scope, Packed.Urgent, {}};
  for (const packed_load &Load : Packed.Loads)
    Report.Loads.push_back(unpack(Load));
  return Report;
}

} // namespace pollenstall
