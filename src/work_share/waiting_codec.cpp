/** @file waiting_codec.cpp Counts of waiting requests as datagrams of their own kind. */
#include "work_share/waiting_codec_func.h"

#include "work_share/work_share_type.h"

#include <algorithm>
#include <limits>

namespace pollenstall {

namespace {

/// A waiting_load as encoded on the wire.
struct packed_waiting {
  std::uint64_t Service{0};
  std::uint32_t ArrivalUnits{0};
  std::vector<std::uint16_t> Counts;

  template <typename Archive> void serialize(Archive &Into) { Into(Service, ArrivalUnits, Counts); }
};

struct packed_waiting_report {
  process_key Sender;
  std::uint64_t Sequence{0};
  report_scope Scope{report_scope::Own};
  std::vector<packed_waiting> Loads;

  template <typename Archive> void serialize(Archive &Into) {
    Into(Sender, Sequence, Scope, Loads);
  }
};

packed_waiting pack(const waiting_load &Load) {
  return {Load.Service, Load.ArrivalUnits, {Load.Counts.begin(), Load.Counts.end()}};
}

/// Counts of classes that this build doesn't know are added to the last class.
waiting_load unpack(const packed_waiting &Packed) {
  constexpr std::uint32_t MaxCount = std::numeric_limits<std::uint16_t>::max();
  waiting_load Load;
  Load.Service = Packed.Service;
  Load.ArrivalUnits = Packed.ArrivalUnits;
  for (std::size_t Class = 0; Class < Packed.Counts.size(); ++Class) {
    std::uint16_t &Count = Load.Counts[std::min(Class, RankClassCount - 1)];
    Count =
        static_cast<std::uint16_t>(std::min(MaxCount, std::uint32_t{Count} + Packed.Counts[Class]));
  }
  return Load;
}

} // namespace

std::string encodeWaitingReport(const std::string &Fleet, const work_report &Report) {
  packed_waiting_report Packed{Report.Sender, Report.Sequence, Report.Scope, {}};
  if (Report.Waiting)
    for (const waiting_load &Load : *Report.Waiting)
      Packed.Loads.push_back(pack(Load));
  return encodeEnvelope(Fleet, message_kind::WaitingWork, Packed);
}

result<work_report, wire_error> decodeWaitingReport(const std::string &Fleet,
                                                    std::span<const char> Bytes) {
  const auto Decoded = decodeEnvelope<packed_waiting_report>(Fleet, message_kind::WaitingWork,
                                                             Bytes, MaxReportBytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  const packed_waiting_report &Packed = valueOf(Decoded);
  if (Packed.Scope >= report_scope::Withdrawn || Packed.Loads.size() > MaxWaitingServices)
    return wire_error::Malformed;
  work_report Report{Packed.Sender, Packed.Sequence, Packed.Scope, false, {}};
  Report.Waiting.emplace();
  for (const packed_waiting &Load : Packed.Loads)
    Report.Waiting->push_back(unpack(Load));
  return Report;
}

} // namespace pollenstall
