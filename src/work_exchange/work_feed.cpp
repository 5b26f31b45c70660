/** @file work_feed.cpp Whether a receiver is to be told. */
#include "work_exchange/work_feed_base.h"

namespace pollenstall {

namespace {

/// The end of all work at a backend server is told so often, since a datagram may be lost.
constexpr std::uint32_t EndsTold = 3;

} // namespace

bool work_feed::isDue(incarnation Incarnation, mono_time Now) const {
  const auto Known = Told.find(Incarnation);
  return Known != Told.end() && Now - Known->second.At >= Tuning.Refresh;
}

void work_feed::forgetEnded(const work_ledger &Ledger) {
  constexpr std::size_t Spare = 32;
  if (Told.size() > Ledger.engines().size() + Spare)
    std::erase_if(Told,
                  [&Ledger](const auto &Item) { return !Ledger.engines().contains(Item.first); });
}

bool work_feed::note(const work_load &Load, bool Due, mono_time Now) {
  const auto Known = Told.find(Load.Incarnation);
  const bool Nothing = isEmpty(Load);
  if (Known == Told.end()) {
    if (Nothing)
      return false;
    Told[Load.Incarnation] = {Load, Now, 0};
    return true;
  }
  if (!Due && !differs(Known->second.Load, Known->second.At, Load, Now, Tuning))
    return false;
  if (Nothing && Known->second.Nothing >= EndsTold) {
    Told.erase(Known);
    return false;
  }
  Known->second = {Load, Now, Nothing ? Known->second.Nothing + 1 : 0};
  return true;
}

} // namespace pollenstall
