/** @file memory_ledger_base.h KV memory of one engine: what is promised and what is reported. */
#ifndef POLLENSTALL_SCHEDULING_MEMORY_LEDGER_BASE_H
#define POLLENSTALL_SCHEDULING_MEMORY_LEDGER_BASE_H

#include "core/core.h"

#include <cstdint>
#include <map>

namespace pollenstall {

/// Identifies one reservation of a scheduler, from placement until the attempt has ended.
using ticket_number = std::uint64_t;

/**
 * Blocks of one engine. Own reservations stand until the engine has confirmed that the attempt
 * holds nothing; a report adds what other hosts' work holds.
 */
class memory_ledger {
public:
  /// @param Blocks All of the engine's memory; 0 where it announces none, which bounds nothing.
  void setCapacity(memory_blocks Blocks) { Capacity = Blocks; }
  /// @param Needed Whole need of the attempt: prompt and the longest answer.
  void reserve(ticket_number Ticket, memory_blocks Needed);
  /// The engine now holds this part of the reservation, so reports from now on count it too.
  void setHeld(ticket_number Ticket, memory_blocks Held);
  void release(ticket_number Ticket);
  /**
   * A report came.
   * @param Used Blocks that running work of every host holds.
   * @param Coming Blocks that work of every host will take for prompts not yet processed.
   */
  void report(memory_blocks Used, memory_blocks Coming);

  /// @return Whether the engine could ever hold that much.
  [[nodiscard]] bool couldHold(memory_blocks Needed) const;
  /// @return Whether it fits beside what is taken now.
  [[nodiscard]] bool fits(memory_blocks Needed) const;
  [[nodiscard]] memory_blocks reserved() const { return Reserved; } ///< Own reservations.
  /// @return Own reservations and the estimate of other hosts' work, without counting any twice.
  [[nodiscard]] memory_blocks taken() const;
  [[nodiscard]] memory_blocks capacity() const { return Capacity; }

private:
  struct reservation {
    memory_blocks Needed;
    memory_blocks Held;
  };

  memory_blocks Capacity;
  memory_blocks Reserved;
  memory_blocks OthersTaken; ///< As of the last report.
  std::map<ticket_number, reservation> Reservations;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_MEMORY_LEDGER_BASE_H
