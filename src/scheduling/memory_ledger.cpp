/** @file memory_ledger.cpp Reservations of KV memory, corrected for what reports count as well. */
#include "scheduling/memory_ledger_base.h"

#include <algorithm>

namespace pollenstall {

void memory_ledger::reserve(ticket_number Ticket, memory_blocks Needed) {
  const bool Added = Reservations.emplace(Ticket, reservation{Needed, memory_blocks(0)}).second;
  requireInvariant(Added, "a ticket reserves memory once");
  Reserved += Needed;
}

void memory_ledger::setHeld(ticket_number Ticket, memory_blocks Held) {
  const auto Found = Reservations.find(Ticket);
  if (Found != Reservations.end())
    Found->second.Held = std::min(Held, Found->second.Needed);
}

void memory_ledger::release(ticket_number Ticket) {
  const auto Found = Reservations.find(Ticket);
  if (Found == Reservations.end())
    return;
  Reserved -= Found->second.Needed;
  Reservations.erase(Found);
  requireInvariant(Reserved.value() >= 0, "reserved memory is never negative");
  requireInvariant(!Reservations.empty() || Reserved.value() == 0,
                   "no memory stays reserved without a reservation");
}

void memory_ledger::report(memory_blocks Used, memory_blocks Coming) {
  // Both figures contain this host's own work. Only the part that the engine holds for certain is
  // taken off; what is still unsure counts twice for a moment, which delays work but overfills
  // nothing.
  memory_blocks OwnHeld;
  for (const auto &[Ticket, Entry] : Reservations)
    OwnHeld += Entry.Held;
  OthersTaken = std::max(memory_blocks(0), Used + Coming - OwnHeld);
}

bool memory_ledger::couldHold(memory_blocks Needed) const {
  return Capacity.value() == 0 || Needed <= Capacity;
}

bool memory_ledger::fits(memory_blocks Needed) const {
  return Capacity.value() == 0 || taken() + Needed <= Capacity;
}

memory_blocks memory_ledger::taken() const { return Reserved + OthersTaken; }

} // namespace pollenstall
