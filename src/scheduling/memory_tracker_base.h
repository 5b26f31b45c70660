/** @file memory_tracker_base.h Tracks reserved and reported KV cache memory of one engine. */
#ifndef POLLENSTALL_SCHEDULING_MEMORY_TRACKER_BASE_H
#define POLLENSTALL_SCHEDULING_MEMORY_TRACKER_BASE_H

#include "core/core.h"

#include <cstdint>
#include <map>

namespace pollenstall {

/// Identifies a placement of a scheduler, from placement until its attempt has ended.
using placement_id = std::uint64_t;

/**
 * KV cache memory of one engine, in blocks. Own reservations last until the engine has confirmed
 * that the attempt holds no memory. The engine's load reports add the memory of other hosts' work.
 */
class memory_tracker {
public:
  /// @param Blocks Total memory of the engine; 0 (none announced) means unlimited.
  void setCapacity(memory_blocks Blocks) { Capacity = Blocks; }
  /// Reserves memory. @param Needed Blocks for the prompt and the longest allowed answer.
  void reserve(placement_id Placement, memory_blocks Needed);
  /// Sets the part of a reservation that the engine's load reports already include.
  void setHeldBlocks(placement_id Placement, memory_blocks Held);
  void release(placement_id Placement);
  /**
   * Updates the estimate of other hosts' memory from a load report.
   * @param Used Blocks held by running work of all hosts.
   * @param PendingBlocks Blocks needed for the unprocessed prompt tokens of all hosts.
   */
  void applyReport(memory_blocks Used, memory_blocks PendingBlocks);

  /// Returns whether the blocks fit into an empty engine.
  [[nodiscard]] bool canEverFit(memory_blocks Needed) const;
  /// Returns whether the blocks fit into the memory that is not allocated now.
  [[nodiscard]] bool fits(memory_blocks Needed) const;
  /// Returns the sum of the own reservations.
  [[nodiscard]] memory_blocks reserved() const { return Reserved; }
  /// Returns own reservations plus the estimated memory of other hosts' work. Own memory that a
  /// report includes counts once.
  [[nodiscard]] memory_blocks allocated() const;
  [[nodiscard]] memory_blocks capacity() const { return Capacity; }

private:
  struct reservation {
    memory_blocks Needed;
    memory_blocks Held;
  };

  memory_blocks Capacity;
  memory_blocks Reserved;
  memory_blocks OthersAllocated; ///< Estimated from the last report.
  std::map<placement_id, reservation> Reservations;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_MEMORY_TRACKER_BASE_H
