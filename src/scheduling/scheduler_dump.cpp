/** @file scheduler_dump.cpp Writes the scheduler's state as JSON for operators. */
#include "scheduling/scheduler_base.h"

#include <sstream>

namespace pollenstall {
namespace {

constexpr std::array<std::string_view, 3> StatusNames{"active", "leaving", "lost"};
constexpr std::array<std::string_view, 3> EjectionNames{"admitted", "ejected", "probing"};

/// Writes a JSON string. Addresses come from the network and may contain any character.
void writeText(std::ostream &Out, std::string_view Text) {
  constexpr std::string_view Hex = "0123456789abcdef";
  Out << '"';
  for (const char Letter : Text) {
    const auto Byte = static_cast<unsigned char>(Letter);
    if (Letter == '"' || Letter == '\\')
      Out << '\\' << Letter;
    else if (Byte < 0x20)
      Out << "\\u00" << Hex[Byte >> 4U] << Hex[Byte & 0xFU];
    else
      Out << Letter;
  }
  Out << '"';
}

void writeRecord(std::ostream &Out, const scheduled_backend &Record, ejection_state Ejection) {
  Out << "{\"backend\":";
  writeText(Out, toText(Record.key()));
  Out << ",\"standing\":\"" << StatusNames[static_cast<std::size_t>(Record.View.Status)]
      << "\",\"ejection\":\"" << EjectionNames[static_cast<std::size_t>(Ejection)]
      << "\",\"evacuated\":" << (Record.Evacuated ? "true" : "false")
      << ",\"outstanding\":" << Record.Outstanding
      << ",\"unanswered\":" << Record.Prefill.unansweredCount()
      << ",\"prefill_tokens_per_second\":" << Record.Costs.prefillRate()
      << ",\"seconds_per_step\":" << Record.Costs.secondsPerStep()
      << ",\"blocks\":" << Record.Memory.capacity()
      << ",\"blocks_reserved\":" << Record.Memory.reserved()
      << ",\"blocks_taken\":" << Record.Memory.allocated() << '}';
}

} // namespace

std::string scheduler::dump() const {
  std::ostringstream Out;
  Out << "{\"queued\":{\"short\":" << Queue.size(length_class::Short)
      << ",\"medium\":" << Queue.size(length_class::Medium)
      << ",\"long\":" << Queue.size(length_class::Long) << "},\"open\":" << OpenPlacements.size()
      << ",\"unstarted\":" << Unstarted.size() << ",\"answer_share\":" << AnswerShare
      << ",\"requests_per_engine\":" << Concurrency.value()
      << ",\"seconds_per_token\":" << Concurrency.pace()
      << ",\"seconds_per_token_needed\":" << Concurrency.requiredPace()
      << ",\"prefixes\":" << Affinity.size() << ",\"backends\":[";
  bool First = true;
  for (const auto &[Key, Record] : Pool.records()) {
    Out << (First ? "" : ",");
    First = false;
    writeRecord(Out, Record, Pool.outlierDetector().state(Key));
  }
  Out << "]}";
  return Out.str();
}

} // namespace pollenstall
