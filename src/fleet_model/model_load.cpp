/** @file model_load.cpp Parses a load file into a model_load. */
#include "fleet_model/model_load_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

using faults = std::vector<toml_error>;

constexpr toml_range<double> PositiveRange{1e-6, 1e9};
constexpr toml_range<double> NonNegativeRange{0, 1e9};
constexpr toml_range<double> FractionRange{0, 1};
constexpr toml_range<double> SlownessRange{1, 100};
constexpr toml_range<double> SpreadRange{0, 3};
constexpr toml_range<std::int64_t> CountRange{1, 4'096};
constexpr toml_range<std::int64_t> TokenRange{1, 1'000'000'000};
constexpr toml_range<std::int64_t> StepRange{1, 100'000};
constexpr toml_range<std::int64_t> UrgencyRange{0, 9};

toml_text_rule nameRule() {
  return {"a name", [](const std::string &Text) { return !Text.empty(); }};
}

engine_profile readEngine(toml_reader &Table) {
  engine_profile Figures;
  Figures.BatchSlots =
      static_cast<std::uint32_t>(Table.integer("places", CountRange, Figures.BatchSlots));
  Figures.Memory = tokens(Table.integer("memory_tokens", TokenRange, 315'000));
  Figures.StepsPerPass =
      static_cast<std::uint32_t>(Table.integer("steps_per_pass", StepRange, Figures.StepsPerPass));
  Figures.StepMs = Table.number("step_ms", PositiveRange, Figures.StepMs);
  Figures.PerSequenceMs = Table.number("per_sequence_ms", NonNegativeRange, Figures.PerSequenceMs);
  Figures.PerContextMs = Table.number("per_context_ms", NonNegativeRange, Figures.PerContextMs);
  Figures.PrefillTokensPerSecond =
      Table.number("read_per_second", PositiveRange, Figures.PrefillTokensPerSecond);
  Figures.MsPerMillionPairs = Table.number("pairs_ms", NonNegativeRange, Figures.MsPerMillionPairs);
  Figures.PrefillChunk =
      tokens(Table.integer("chunk_tokens", TokenRange, Figures.PrefillChunk.value()));
  Table.finish("an engine");
  return Figures;
}

size_spread readSize(toml_reader &Table, const std::string &Name, double Mean) {
  size_spread Size;
  Size.Mean = Table.number(Name, PositiveRange, Mean);
  Size.Spread = Table.number(Name + "_spread", SpreadRange, 0);
  Size.Limit = Table.number(Name + "_most", PositiveRange, PositiveRange.Max);
  return Size;
}

request_kind readKind(toml_reader &Table) {
  request_kind Kind;
  Kind.Name = Table.text("name", toml_presence::Required, nameRule());
  Kind.PerSecond = Table.number("per_second", PositiveRange, Kind.PerSecond);
  Kind.Prompt = readSize(Table, "prompt_tokens", 1'000);
  Kind.Events = readSize(Table, "answer_events", 1);
  Kind.TargetMs = Table.number("target_ms", PositiveRange, Kind.TargetMs);
  Kind.GapMs = Table.number("gap_ms", PositiveRange, Kind.GapMs);
  Kind.TimeoutMs = Table.number("timeout_ms", PositiveRange, Kind.TimeoutMs);
  Kind.PatienceMs = Table.number("patience_ms", NonNegativeRange, Kind.PatienceMs);
  Kind.Urgency = static_cast<std::uint32_t>(Table.integer("urgency", UrgencyRange, Kind.Urgency));
  Kind.Worth = Table.number("worth", NonNegativeRange, Kind.Worth);
  Kind.LateWorth = Table.number("late_worth", NonNegativeRange, Kind.LateWorth);
  Table.finish("a kind of request");
  return Kind;
}

load_phase readPhase(toml_reader &Table) {
  load_phase Phase;
  Phase.Kind = Table.text("kind", toml_presence::Optional, nameRule());
  Phase.From = Table.number("from_s", NonNegativeRange, Phase.From);
  Phase.Until = Table.number("until_s", NonNegativeRange, Phase.Until);
  Phase.Factor = Table.number("factor", NonNegativeRange, Phase.Factor);
  Table.finish("a phase");
  return Phase;
}

engine_outage readEngineOutage(toml_reader &Table) {
  engine_outage Outage;
  Outage.StartSeconds = Table.number("at_s", NonNegativeRange, Outage.StartSeconds);
  Outage.DurationSeconds = Table.number("for_s", NonNegativeRange, Outage.DurationSeconds);
  Outage.Share = Table.number("share", FractionRange, Outage.Share);
  Table.finish("a loss of engines");
  return Outage;
}

entry_outage readEntryOutage(toml_reader &Table) {
  entry_outage Outage;
  Outage.StartSeconds = Table.number("at_s", NonNegativeRange, Outage.StartSeconds);
  Outage.DurationSeconds = Table.number("for_s", NonNegativeRange, Outage.DurationSeconds);
  Outage.Count = static_cast<std::size_t>(Table.integer("count", CountRange, 1));
  Table.finish("a loss of entries");
  return Outage;
}

slow_engines readSlowEngines(toml_reader &Table) {
  slow_engines Slow;
  Slow.Count = static_cast<std::size_t>(Table.integer("count", CountRange, 1));
  Slow.Factor = Table.number("factor", SlownessRange, Slow.Factor);
  Slow.FromFill = Table.number("from_fill", FractionRange, Slow.FromFill);
  Slow.FromSeconds = Table.number("from_s", NonNegativeRange, Slow.FromSeconds);
  Slow.UntilSeconds = Table.number("until_s", NonNegativeRange, Slow.UntilSeconds);
  Table.finish("slow engines");
  return Slow;
}

carried_entries readCarriedEntries(toml_reader &Table) {
  carried_entries Carried;
  Carried.Share = Table.number("share", FractionRange, Carried.Share);
  Carried.ConnectMs = Table.number("connect_ms", NonNegativeRange, Carried.ConnectMs);
  Table.finish("entries behind a cut");
  return Carried;
}

/// Reads overrides of placement parameters, for trials without a rebuild.
void readTuning(toml_reader &Table, placement_tuning &Tuning) {
  Tuning.GapFraction = Table.number("gap_part", FractionRange, Tuning.GapFraction);
  Tuning.TargetFraction = Table.number("target_part", FractionRange, Tuning.TargetFraction);
  Tuning.MaxSinglePrefillMs =
      Table.number("whole_read_ms", NonNegativeRange, Tuning.MaxSinglePrefillMs);
  Tuning.MinPartMs = Table.number("part_ms", PositiveRange, Tuning.MinPartMs);
  Tuning.IdlePrefillMs = Table.number("idle_read_ms", NonNegativeRange, Tuning.IdlePrefillMs);
  Tuning.SlackFraction = Table.number("slack_part", FractionRange, Tuning.SlackFraction);
  Tuning.WaitFraction = Table.number("wait_part", FractionRange, Tuning.WaitFraction);
  Tuning.HeadroomFraction = Table.number("room_part", FractionRange, Tuning.HeadroomFraction);
  Tuning.LongPartMs = Table.number("long_part_ms", NonNegativeRange, Tuning.LongPartMs);
  Tuning.MaxPrefillEngines = static_cast<std::uint32_t>(
      Table.integer("most_readers", CountRange, Tuning.MaxPrefillEngines));
  Tuning.OrderOverEntries =
      Table.integer("order_over_entries", toml_range<std::int64_t>{0, 1}, 0) != 0;
  Tuning.ScarceTargetFraction =
      Table.number("scarce_target_part", FractionRange, Tuning.ScarceTargetFraction);
  Tuning.RefuseHopeless = Table.integer("refuse_hopeless", toml_range<std::int64_t>{0, 1}, 0) != 0;
  Tuning.LateShare = Table.number("late_share", FractionRange, Tuning.LateShare);
  Tuning.MinPackedChoices = static_cast<std::size_t>(Table.integer(
      "packed_choices", CountRange, static_cast<std::int64_t>(Tuning.MinPackedChoices)));
  Tuning.ChoicesPerUnseenRequest =
      Table.number("choices_per_unknown", NonNegativeRange, Tuning.ChoicesPerUnseenRequest);
  Table.finish("placement's tuning");
}

void checkNames(const model_load &Load, faults &Faults) {
  for (const entry_outage &Outage : Load.EntryOutages)
    if (Outage.Count >= Load.Entries)
      Faults.push_back({0, "entry_loss.count", "less than the number of entries"});
  for (const slow_engines &Slow : Load.SlowEngines)
    if (Slow.Count > Load.Engines)
      Faults.push_back({0, "slow.count", "at most the number of engines"});
  if (Load.Kinds.empty())
    Faults.push_back({0, "kind", "at least one"});
  for (const load_phase &Phase : Load.Phases) {
    const bool IsDeclared = Phase.Kind.empty() || std::any_of(Load.Kinds.begin(), Load.Kinds.end(),
                                                              [&Phase](const request_kind &Kind) {
                                                                return Kind.Name == Phase.Kind;
                                                              });
    if (!IsDeclared)
      Faults.push_back({0, "phase.kind", "the name of a kind, not \"" + Phase.Kind + "\""});
  }
}

} // namespace

result<model_load, faults> parseModelLoad(std::string_view Text) {
  auto Parsed = parseToml(Text);
  if (!succeeded(Parsed))
    return faults{errorOf(Parsed)};
  faults Faults;
  toml_reader Table(valueOf(Parsed), "", Faults);
  model_load Load;
  Load.Name = Table.text("name", toml_presence::Required, nameRule());
  Load.Seconds = Table.number("seconds", PositiveRange, Load.Seconds);
  Load.Entries = static_cast<std::size_t>(Table.integer("entries", CountRange, 8));
  Load.Engines = static_cast<std::size_t>(Table.integer("engines", CountRange, 18));
  Load.FailureDomains = static_cast<std::size_t>(Table.integer("domains", CountRange, 3));
  Load.ReportDelayMs = Table.number("report_delay_ms", NonNegativeRange, Load.ReportDelayMs);
  Load.ReportLoss = Table.number("report_loss", FractionRange, Load.ReportLoss);
  Load.HostDelayMs = Table.number("host_delay_ms", NonNegativeRange, Load.HostDelayMs);
  Load.CallerDelayMs = Table.number("caller_delay_ms", NonNegativeRange, Load.CallerDelayMs);
  Load.RetryProbability = Table.number("return_chance", FractionRange, Load.RetryProbability);
  Load.TokensPerEvent = Table.number("tokens_per_event", PositiveRange, Load.TokensPerEvent);
  if (auto Engine = Table.table("engine"))
    Load.Engine = readEngine(*Engine);
  for (toml_reader &Kind : Table.tables("kind", toml_presence::Required))
    Load.Kinds.push_back(readKind(Kind));
  for (toml_reader &Phase : Table.tables("phase", toml_presence::Optional))
    Load.Phases.push_back(readPhase(Phase));
  for (toml_reader &Outage : Table.tables("loss", toml_presence::Optional))
    Load.EngineOutages.push_back(readEngineOutage(Outage));
  for (toml_reader &Outage : Table.tables("entry_loss", toml_presence::Optional))
    Load.EntryOutages.push_back(readEntryOutage(Outage));
  for (toml_reader &Slow : Table.tables("slow", toml_presence::Optional))
    Load.SlowEngines.push_back(readSlowEngines(Slow));
  if (auto Carried = Table.table("carried"))
    Load.Carried = readCarriedEntries(*Carried);
  if (auto Tuning = Table.table("tuning"))
    readTuning(*Tuning, Load.Tuning);
  Table.finish("a load");
  checkNames(Load, Faults);
  if (!Faults.empty())
    return Faults;
  return Load;
}

} // namespace pollenstall
