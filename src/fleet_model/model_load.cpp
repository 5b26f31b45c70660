/** @file model_load.cpp Maps the keys of a load file onto its types. */
#include "fleet_model/model_load_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

using faults = std::vector<toml_error>;

constexpr toml_range<double> Positive{1e-6, 1e9};
constexpr toml_range<double> Amount{0, 1e9};
constexpr toml_range<double> Part{0, 1};
constexpr toml_range<double> Spread{0, 3};
constexpr toml_range<std::int64_t> Count{1, 4'096};
constexpr toml_range<std::int64_t> Tokens{1, 1'000'000'000};
constexpr toml_range<std::int64_t> Steps{1, 100'000};
constexpr toml_range<std::int64_t> Urgencies{0, 9};

toml_text_rule anyName() {
  return {"a name", [](const std::string &Text) { return !Text.empty(); }};
}

engine_profile readEngine(toml_reader &Table) {
  engine_profile Figures;
  Figures.BatchSlots =
      static_cast<std::uint32_t>(Table.integer("places", Count, Figures.BatchSlots));
  Figures.Memory = tokens(Table.integer("memory_tokens", Tokens, 315'000));
  Figures.StepsPerPass =
      static_cast<std::uint32_t>(Table.integer("steps_per_pass", Steps, Figures.StepsPerPass));
  Figures.StepMs = Table.number("step_ms", Positive, Figures.StepMs);
  Figures.PerSequenceMs = Table.number("per_sequence_ms", Amount, Figures.PerSequenceMs);
  Figures.PerContextMs = Table.number("per_context_ms", Amount, Figures.PerContextMs);
  Figures.PrefillTokensPerSecond =
      Table.number("read_per_second", Positive, Figures.PrefillTokensPerSecond);
  Figures.MsPerMillionPairs = Table.number("pairs_ms", Amount, Figures.MsPerMillionPairs);
  Figures.PrefillChunk =
      tokens(Table.integer("chunk_tokens", Tokens, Figures.PrefillChunk.value()));
  Table.finish("an engine");
  return Figures;
}

size_spread readSize(toml_reader &Table, const std::string &Name, double Mean) {
  size_spread Size;
  Size.Mean = Table.number(Name, Positive, Mean);
  Size.Spread = Table.number(Name + "_spread", Spread, 0);
  Size.Most = Table.number(Name + "_most", Positive, Positive.Max);
  return Size;
}

request_kind readKind(toml_reader &Table) {
  request_kind Kind;
  Kind.Name = Table.text("name", toml_presence::Required, anyName());
  Kind.PerSecond = Table.number("per_second", Positive, Kind.PerSecond);
  Kind.Prompt = readSize(Table, "prompt_tokens", 1'000);
  Kind.Events = readSize(Table, "answer_events", 1);
  Kind.TargetMs = Table.number("target_ms", Positive, Kind.TargetMs);
  Kind.GapMs = Table.number("gap_ms", Positive, Kind.GapMs);
  Kind.TimeoutMs = Table.number("timeout_ms", Positive, Kind.TimeoutMs);
  Kind.PatienceMs = Table.number("patience_ms", Amount, Kind.PatienceMs);
  Kind.Urgency = static_cast<std::uint32_t>(Table.integer("urgency", Urgencies, Kind.Urgency));
  Kind.Worth = Table.number("worth", Amount, Kind.Worth);
  Kind.LateWorth = Table.number("late_worth", Amount, Kind.LateWorth);
  Table.finish("a kind of request");
  return Kind;
}

load_phase readPhase(toml_reader &Table) {
  load_phase Phase;
  Phase.Kind = Table.text("kind", toml_presence::Optional, anyName());
  Phase.From = Table.number("from_s", Amount, Phase.From);
  Phase.Until = Table.number("until_s", Amount, Phase.Until);
  Phase.Factor = Table.number("factor", Amount, Phase.Factor);
  Table.finish("a phase");
  return Phase;
}

engine_loss readLoss(toml_reader &Table) {
  engine_loss Loss;
  Loss.At = Table.number("at_s", Amount, Loss.At);
  Loss.For = Table.number("for_s", Amount, Loss.For);
  Loss.Share = Table.number("share", Part, Loss.Share);
  Table.finish("a loss of engines");
  return Loss;
}

entry_loss readEntryLoss(toml_reader &Table) {
  entry_loss Loss;
  Loss.At = Table.number("at_s", Amount, Loss.At);
  Loss.For = Table.number("for_s", Amount, Loss.For);
  Loss.Count = static_cast<std::size_t>(Table.integer("count", Count, 1));
  Table.finish("a loss of entries");
  return Loss;
}

/// Trials of placement, without a build for each.
void readTuning(toml_reader &Table, placement_tuning &Tuning) {
  Tuning.GapPart = Table.number("gap_part", Part, Tuning.GapPart);
  Tuning.TargetPart = Table.number("target_part", Part, Tuning.TargetPart);
  Tuning.MaxSinglePrefillMs = Table.number("whole_read_ms", Amount, Tuning.MaxSinglePrefillMs);
  Tuning.MinPartMs = Table.number("part_ms", Positive, Tuning.MinPartMs);
  Tuning.IdlePrefillMs = Table.number("idle_read_ms", Amount, Tuning.IdlePrefillMs);
  Tuning.SlackPart = Table.number("slack_part", Part, Tuning.SlackPart);
  Tuning.WaitPart = Table.number("wait_part", Part, Tuning.WaitPart);
  Tuning.HeadroomPart = Table.number("room_part", Part, Tuning.HeadroomPart);
  Tuning.LongPartMs = Table.number("long_part_ms", Amount, Tuning.LongPartMs);
  Tuning.MaxPrefillEngines =
      static_cast<std::uint32_t>(Table.integer("most_readers", Count, Tuning.MaxPrefillEngines));
  Tuning.SpareSlots =
      static_cast<std::uint32_t>(Table.integer("spare_places", Urgencies, Tuning.SpareSlots));
  Tuning.MinPackedChoices = static_cast<std::size_t>(
      Table.integer("packed_choices", Count, static_cast<std::int64_t>(Tuning.MinPackedChoices)));
  Tuning.ChoicesPerUnknown = Table.number("choices_per_unknown", Amount, Tuning.ChoicesPerUnknown);
  Table.finish("placement's tuning");
}

void checkNames(const model_load &Load, faults &Faults) {
  for (const entry_loss &Loss : Load.EntryLosses)
    if (Loss.Count >= Load.Entries)
      Faults.push_back({0, "entry_loss.count", "less than the number of entries"});
  if (Load.Kinds.empty())
    Faults.push_back({0, "kind", "at least one"});
  for (const load_phase &Phase : Load.Phases) {
    const bool Known = Phase.Kind.empty() || std::any_of(Load.Kinds.begin(), Load.Kinds.end(),
                                                         [&Phase](const request_kind &Kind) {
                                                           return Kind.Name == Phase.Kind;
                                                         });
    if (!Known)
      Faults.push_back({0, "phase.kind", "the name of a kind, not \"" + Phase.Kind + "\""});
  }
}

} // namespace

result<model_load, faults> parseModelLoad(std::string_view Text) {
  auto Root = parseToml(Text);
  if (!succeeded(Root))
    return faults{errorOf(Root)};
  faults Faults;
  toml_reader Table(valueOf(Root), "", Faults);
  model_load Load;
  Load.Name = Table.text("name", toml_presence::Required, anyName());
  Load.Seconds = Table.number("seconds", Positive, Load.Seconds);
  Load.Entries = static_cast<std::size_t>(Table.integer("entries", Count, 8));
  Load.Engines = static_cast<std::size_t>(Table.integer("engines", Count, 18));
  Load.Domains = static_cast<std::size_t>(Table.integer("domains", Count, 3));
  Load.ReportDelayMs = Table.number("report_delay_ms", Amount, Load.ReportDelayMs);
  Load.ReportLoss = Table.number("report_loss", Part, Load.ReportLoss);
  Load.HostDelayMs = Table.number("host_delay_ms", Amount, Load.HostDelayMs);
  Load.CallerDelayMs = Table.number("caller_delay_ms", Amount, Load.CallerDelayMs);
  Load.ReturnChance = Table.number("return_chance", Part, Load.ReturnChance);
  Load.TokensPerEvent = Table.number("tokens_per_event", Positive, Load.TokensPerEvent);
  if (auto Engine = Table.table("engine"))
    Load.Engine = readEngine(*Engine);
  for (toml_reader &Kind : Table.tables("kind", toml_presence::Required))
    Load.Kinds.push_back(readKind(Kind));
  for (toml_reader &Phase : Table.tables("phase", toml_presence::Optional))
    Load.Phases.push_back(readPhase(Phase));
  for (toml_reader &Loss : Table.tables("loss", toml_presence::Optional))
    Load.Losses.push_back(readLoss(Loss));
  for (toml_reader &Loss : Table.tables("entry_loss", toml_presence::Optional))
    Load.EntryLosses.push_back(readEntryLoss(Loss));
  if (auto Tuning = Table.table("tuning"))
    readTuning(*Tuning, Load.Tuning);
  Table.finish("a load");
  checkNames(Load, Faults);
  if (!Faults.empty())
    return Faults;
  return Load;
}

} // namespace pollenstall
