/** @file placer_choice.cpp Which engines read and answer one waiting request. */
#include "placement/pass_model_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <limits>

namespace pollenstall {

namespace {

double millisUntil(mono_time Then, mono_time Now) {
  return std::chrono::duration<double, std::milli>(Then - Now).count();
}

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
    engine_option Option{&Engine, Engine.peerWork(Now, Tuning.PeerSilence)};
    if (const auto Mine = Own.find(Key); Mine != Own.end()) {
      Option.View.Requests += Mine->second.Requests;
      Option.View.Writers += Mine->second.Writers;
      Option.View.ReadMs += Mine->second.ReadMs;
      Option.View.Tokens += Mine->second.Tokens;
    }
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
  const double GapMs =
      ShortestGapMs > 0 ? ShortestGapMs * Tuning.GapPart : std::numeric_limits<double>::max();
  std::vector<reader_option> Readers;
  for (std::size_t Place = 0; Place < Options.size(); ++Place) {
    const engine_option &Option = Options[Place];
    reader_option Reader;
    Reader.Option = Option;
    Reader.Place = Place;
    Reader.PassMs = passMs(Figures, Option.View.Writers, Option.View.Tokens);
    // A request that is being read there writes in a moment: it counts as a writer.
    const bool Occupied = Option.View.Requests > 0;
    Reader.StartMs = Reader.PassMs + Option.View.ReadMs;
    Reader.RoomMs = Occupied ? GapMs - Reader.StartMs : std::numeric_limits<double>::max();
    Reader.MayAnswer = Option.View.Requests + Tuning.SparePlaces < Figures.Places &&
                       Option.View.Tokens + Memory <= Holds;
    Readers.push_back(Reader);
  }
  const bool Late = Work.Item.Resumed || Work.Item.Target.count() == 0 || isLate(Work, Now);
  const double LeftMs = Late ? millisUntil(Work.Item.Deadline, Now) * LatePart
                             : millisUntil(Work.Item.Arrived + Work.Item.Target, Now);
  const double WholeMs = readMs(Figures, Work.Item.Prompt);
  if (WholeMs <= Tuning.WholeReadMs)
    if (auto Plan = packShort(Readers, WholeMs, LeftMs))
      return Plan;
  return gather(std::move(Readers), WholeMs, LeftMs);
}

/**
 * Short work goes to the first engines in an order that all entries share, as far as their passes
 * stay short enough: engines that write nothing are what long prompts need.
 */
std::optional<placer::read_plan> placer::packShort(const std::vector<reader_option> &Readers,
                                                   double WholeMs, double LeftMs) {
  std::vector<const reader_option *> Fits;
  for (const reader_option &Reader : Readers) {
    const bool InTime = Reader.StartMs + WholeMs <= LeftMs * Tuning.TargetPart;
    if (Reader.MayAnswer && InTime && WholeMs <= Reader.RoomMs)
      Fits.push_back(&Reader);
    if (Fits.size() >= Tuning.PackedChoices)
      break;
  }
  if (Fits.empty())
    return std::nullopt;
  const reader_option &Chosen = *Fits[Random.below(Fits.size())];
  return read_plan{{Chosen.Option}, WholeMs, Chosen.StartMs + WholeMs};
}

std::optional<placer::read_plan> placer::gather(std::vector<reader_option> Readers, double WholeMs,
                                                double LeftMs) const {
  // The engines that write least first, and of these the last in the common order: short work
  // comes from the other end.
  std::sort(Readers.begin(), Readers.end(), [](const reader_option &A, const reader_option &B) {
    return std::tuple(A.StartMs, B.Place) < std::tuple(B.StartMs, A.Place);
  });
  std::optional<read_plan> Best;
  const std::size_t Most = std::min<std::size_t>(Tuning.MostReaders, Readers.size());
  for (std::size_t Count = 1; Count <= Most; ++Count) {
    const double PartMs = WholeMs / static_cast<double>(Count);
    auto Plan = withReaders(Readers, Count, PartMs);
    if (!Plan)
      continue;
    const bool Enough = PartMs <= Tuning.FreePartMs && Plan->FinishMs <= LeftMs * Tuning.TargetPart;
    if (!Best || Plan->FinishMs < Best->FinishMs)
      Best = std::move(Plan);
    if (Enough)
      break;
  }
  if (Best && Best->FinishMs > LeftMs)
    Best.reset();
  return Best;
}

std::optional<placer::read_plan> placer::withReaders(const std::vector<reader_option> &Readers,
                                                     std::size_t Count, double PartMs) {
  std::vector<const reader_option *> Chosen;
  for (const reader_option &Reader : Readers) {
    if (PartMs <= Reader.RoomMs)
      Chosen.push_back(&Reader);
    if (Chosen.size() == Count)
      break;
  }
  if (Chosen.size() < Count)
    return std::nullopt;
  const auto Answers = std::find_if(Chosen.begin(), Chosen.end(),
                                    [](const reader_option *Reader) { return Reader->MayAnswer; });
  if (Answers == Chosen.end())
    return std::nullopt;
  std::iter_swap(Chosen.begin(), Answers);
  read_plan Plan;
  Plan.PartMs = PartMs;
  for (const reader_option *Reader : Chosen) {
    Plan.Readers.push_back(Reader->Option);
    Plan.FinishMs = std::max(Plan.FinishMs, Reader->StartMs + PartMs);
  }
  return Plan;
}

} // namespace pollenstall
