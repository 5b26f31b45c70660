/** @file placer_choice.cpp Which engines read and answer one waiting request. */
#include "placement/millis_func.h"
#include "placement/pass_model_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {

namespace {

/// Requests beyond its places that a server without declared figures may be given: they wait there.
constexpr double FullFactor = 1.5;
/// Part of what is left of the time limit that work which is late already may still take.
constexpr double LatePart = 0.5;

} // namespace

std::vector<placer::engine_option> placer::options(const waiting_work &Work, mono_time Now) {
  std::vector<engine_option> Fresh;
  std::vector<engine_option> Second; // Tried before, or failing: better than none.
  const std::vector<backend_key> &Avoid = Work.Item.Avoid;
  for (auto &[Key, Engine] : Engines) {
    if (Engine.service() != Work.Service || !Engine.active())
      continue;
    const engine_option Option{&Engine, AllWork[Key]};
    const bool Tried = std::find(Avoid.begin(), Avoid.end(), Key) != Avoid.end();
    (Tried || Engine.paused(Now) ? Second : Fresh).push_back(Option);
  }
  return Fresh.empty() ? Second : Fresh;
}

std::optional<placer::read_plan> placer::choose(const waiting_work &Work, mono_time Now) {
  std::vector<engine_option> Options = options(Work, Now);
  const auto Service = Services.find(Work.Service);
  if (Options.empty() || Service == Services.end())
    return std::nullopt;
  if (!Service->second.Engine)
    return chooseServer(std::move(Options));
  return chooseEngines(Work, *Service->second.Engine, std::move(Options), Now);
}

std::optional<placer::read_plan> placer::chooseServer(std::vector<engine_option> Options) {
  const auto Load = [](const engine_option &Option) {
    return static_cast<double>(Option.View.Requests) / Option.Engine->places();
  };
  double Least = std::numeric_limits<double>::max();
  for (const engine_option &Option : Options)
    Least = std::min(Least, Load(Option));
  if (Least >= FullFactor)
    return std::nullopt;
  std::erase_if(Options, [&](const engine_option &Option) { return Load(Option) > Least; });
  read_plan Plan;
  Plan.Readers.push_back(Options[Random.below(Options.size())]);
  return Plan;
}

std::optional<placer::read_plan> placer::chooseEngines(const waiting_work &Work,
                                                       const engine_figures &Figures,
                                                       std::vector<engine_option> Options,
                                                       mono_time Now) {
  const double Memory = memoryOf(Work.Item);
  const auto Holds = static_cast<double>(Figures.Memory.value());
  std::vector<reader_option> Readers;
  for (std::size_t Place = 0; Place < Options.size(); ++Place) {
    const engine_option &Option = Options[Place];
    reader_option Reader;
    Reader.Option = Option;
    Reader.Place = Place;
    Reader.PassMs = passMs(Figures, Option.View.Writers, Option.View.Tokens);
    Reader.StartMs = Reader.PassMs + Option.View.ReadMs;
    const double GapMs = Option.View.GapMs;
    Reader.RoomMs =
        GapMs > 0 ? std::max(GapMs * Tuning.GapPart, GapMs - Tuning.GapMarginMs) - Reader.StartMs
                  : std::numeric_limits<double>::max();
    Reader.MayAnswer = Option.View.Requests + Tuning.SparePlaces < Figures.Places &&
                       Option.View.Tokens + Memory <= Holds;
    Readers.push_back(Reader);
  }
  const bool Late = Work.Item.Resumed || Work.Item.Target.count() == 0 || isLate(Work, Now);
  const double LeftMs = Late ? millisUntil(Work.Item.Deadline, Now) * LatePart
                             : millisUntil(Work.Item.Arrived + Work.Item.Target, Now);
  const double WholeMs = readMs(Figures, Work.Item.Prompt);
  if (Memory > Holds * Tuning.MemoryPart)
    return chooseHolders(Readers, Figures, Memory, WholeMs, LeftMs);
  if (Work.Item.Resumed && WholeMs <= Tuning.WholeReadMs)
    if (auto Plan = soonest(Readers, WholeMs))
      return Plan;
  if (WholeMs <= Tuning.WholeReadMs)
    if (auto Plan = packShort(Readers, WholeMs, LeftMs, Now))
      return Plan;
  return gather(Readers, WholeMs, LeftMs, static_cast<double>(Work.Item.Target.count()));
}

std::size_t placer::packedChoices(mono_time Now) const {
  const double Unknown = Rate.in(Exchange.Age, Now);
  return std::max(Tuning.PackedChoices,
                  static_cast<std::size_t>(std::ceil(Unknown * Tuning.ChoicesPerUnknown)));
}

/**
 * Short work goes to the first engines in an order that all entries share, as far as their passes
 * stay short enough: engines that write nothing are what long prompts need.
 */
std::optional<placer::read_plan> placer::packShort(const std::vector<reader_option> &Readers,
                                                   double WholeMs, double LeftMs, mono_time Now) {
  const std::size_t Choices = packedChoices(Now);
  std::vector<const reader_option *> Fits;
  for (const reader_option &Reader : Readers) {
    const bool InTime = Reader.StartMs + WholeMs <= LeftMs * Tuning.TargetPart;
    if (Reader.MayAnswer && InTime && WholeMs <= Reader.RoomMs)
      Fits.push_back(&Reader);
    if (Fits.size() >= Choices)
      break;
  }
  if (Fits.empty())
    return std::nullopt;
  const reader_option &Chosen = *Fits[Random.below(Fits.size())];
  return read_plan{{Chosen.Option}, WholeMs, Chosen.StartMs + WholeMs};
}

/**
 * A stream that broke off goes on where it can go on first: its caller counts the time since the
 * last event. When an entry dies many come back in the same moment, to entries that have not heard
 * of each other's choices: packed, they would all wait for the same two engines.
 */
std::optional<placer::read_plan> placer::soonest(const std::vector<reader_option> &Readers,
                                                 double WholeMs) {
  std::vector<const reader_option *> Best;
  for (const reader_option &Reader : Readers) {
    if (!Reader.MayAnswer || WholeMs > Reader.RoomMs)
      continue;
    if (!Best.empty() && Reader.StartMs > Best.front()->StartMs + Tuning.SameStartMs)
      continue;
    if (!Best.empty() && Reader.StartMs + Tuning.SameStartMs < Best.front()->StartMs)
      Best.clear();
    Best.push_back(&Reader);
  }
  if (Best.empty())
    return std::nullopt;
  const reader_option &Chosen = *Best[Random.below(Best.size())];
  return read_plan{{Chosen.Option}, WholeMs, Chosen.StartMs + WholeMs};
}

placer::idle_readers placer::idleReaders(const std::vector<reader_option> &Readers) const {
  idle_readers Idle;
  for (const reader_option &Reader : Readers)
    if (Reader.Option.View.ReadMs <= Tuning.IdleReadMs)
      (Reader.occupied() ? Idle.Writing : Idle.Free).push_back(Reader);
  // The last in the common order first: short work comes from the other end.
  std::reverse(Idle.Free.begin(), Idle.Free.end());
  return Idle;
}

/**
 * A long read that takes the last engines with room makes every short prompt late that comes before
 * it is done: each waits for its whole target and then longer. As many as are missing are left out.
 */
void placer::leaveRoom(std::vector<reader_option> &Free, const std::vector<reader_option> &Writing,
                       std::size_t All, double WholeMs) const {
  const auto Wanted = static_cast<std::size_t>(static_cast<double>(All) * Tuning.RoomPart);
  const auto Roomy = static_cast<std::size_t>(
      std::count_if(Writing.begin(), Writing.end(), [this](const reader_option &Reader) {
        return Reader.MayAnswer && Reader.RoomMs >= Tuning.WholeReadMs;
      }));
  const std::size_t Readers = std::clamp<std::size_t>(Free.size(), 1, Tuning.MostReaders);
  if (Roomy >= Wanted || WholeMs / static_cast<double>(Readers) <= Tuning.LongPartMs)
    return;
  Free.resize(Free.size() - std::min(Free.size(), Wanted - Roomy));
}

/**
 * A prompt that takes long is read by as many engines as are idle: each is held for a moment only,
 * and nothing queues at an engine, where a part for another prompt would be read first and what
 * waits there would wait for good. What finds too few idle engines waits here, where the order is
 * kept.
 */
std::optional<placer::read_plan> placer::gather(const std::vector<reader_option> &Readers,
                                                double WholeMs, double LeftMs,
                                                double TargetMs) const {
  auto [Free, Writing] = idleReaders(Readers);
  leaveRoom(Free, Writing, Readers.size(), WholeMs);
  auto Plan = split(Free, Writing, WholeMs, false);
  if (!Plan || Plan->FinishMs > LeftMs * Tuning.TargetPart)
    if (auto Wider = split(Free, Writing, WholeMs, true))
      if (!Plan || Wider->FinishMs < Plan->FinishMs)
        Plan = std::move(Wider);
  if (!Plan || Plan->FinishMs <= LeftMs * Tuning.TargetPart)
    return Plan;
  const bool MayWait = LeftMs - Plan->FinishMs > TargetMs * Tuning.SlackPart;
  const bool InTime = Plan->FinishMs <= LeftMs;
  return InTime && !MayWait ? Plan : std::nullopt;
}

/**
 * A prompt that no engine can keep alone: the first one keeps what it can, others set memory aside
 * for the rest. Only idle engines that write nothing take part: each is held for long.
 */
std::optional<placer::read_plan> placer::chooseHolders(const std::vector<reader_option> &All,
                                                       const engine_figures &Figures, double Memory,
                                                       double WholeMs, double LeftMs) const {
  const double Whole = static_cast<double>(Figures.Memory.value()) * Tuning.MemoryPart;
  auto [Readers, Writing] = idleReaders(All);
  leaveRoom(Readers, Writing, All.size(), WholeMs);
  std::stable_sort(Readers.begin(), Readers.end(),
                   [](const reader_option &A, const reader_option &B) {
                     return A.Option.View.Tokens < B.Option.View.Tokens;
                   });
  if (Readers.size() > Tuning.MostReaders)
    Readers.resize(Tuning.MostReaders);
  read_plan Plan;
  double Missing = Memory;
  for (const reader_option &Reader : Readers) {
    const double Room = Whole - Reader.Option.View.Tokens;
    const bool First = Plan.Readers.empty();
    Plan.Readers.push_back(Reader.Option);
    if (Missing <= 0 || Room <= 0 || Plan.Held.size() >= Tuning.MostHolders)
      continue;
    const double Taken = std::min(Room, Missing);
    if (!First)
      Plan.Held[Reader.Option.Engine->key()] = std::ceil(Taken);
    Missing -= Taken;
  }
  if (Plan.Readers.empty() || Missing > 0)
    return std::nullopt;
  Plan.PartMs = WholeMs / static_cast<double>(Plan.Readers.size());
  Plan.FinishMs = Plan.PartMs;
  return Plan.FinishMs <= LeftMs ? std::optional(std::move(Plan)) : std::nullopt;
}

/// @param Widely Whether engines that write read parts too, as far as their streams allow.
std::optional<placer::read_plan> placer::split(const std::vector<reader_option> &Free,
                                               const std::vector<reader_option> &Writing,
                                               double WholeMs, bool Widely) const {
  const auto Wanted = static_cast<std::size_t>(std::ceil(WholeMs / Tuning.PartMs));
  const std::size_t Most = std::clamp<std::size_t>(Wanted, 1, Tuning.MostReaders);
  for (std::size_t Count = Most; Count >= 1; --Count)
    if (auto Plan = withReaders(Free, Writing, Count, WholeMs / static_cast<double>(Count), Widely))
      return Plan;
  return std::nullopt;
}

std::optional<placer::read_plan> placer::withReaders(const std::vector<reader_option> &Free,
                                                     const std::vector<reader_option> &Writing,
                                                     std::size_t Count, double PartMs,
                                                     bool Widely) {
  // Whoever answers writes for a while: an engine that does so anyway leaves the free ones free.
  const auto Answers = [PartMs](const reader_option &Reader) {
    return Reader.MayAnswer && PartMs <= Reader.RoomMs;
  };
  auto First = std::find_if(Writing.begin(), Writing.end(), Answers);
  if (First == Writing.end()) {
    First = std::find_if(Free.begin(), Free.end(), Answers);
    if (First == Free.end())
      return std::nullopt;
  }
  std::vector<const reader_option *> Chosen{&*First};
  const auto Add = [&](const std::vector<reader_option> &Options) {
    for (const reader_option &Reader : Options)
      if (Chosen.size() < Count && Reader.Place != First->Place && PartMs <= Reader.RoomMs)
        Chosen.push_back(&Reader);
  };
  Add(Free);
  if (Widely)
    Add(Writing);
  if (Chosen.size() < Count)
    return std::nullopt;
  read_plan Plan;
  Plan.PartMs = PartMs;
  for (const reader_option *Reader : Chosen) {
    Plan.Readers.push_back(Reader->Option);
    Plan.FinishMs = std::max(Plan.FinishMs, Reader->StartMs + PartMs);
  }
  return Plan;
}

} // namespace pollenstall
