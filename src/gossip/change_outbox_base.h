/** @file change_outbox_base.h Changes that wait for room in the ring to another thread. */
#ifndef POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H
#define POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H

#include "gossip/gossip_type.h"

#include <map>
#include <optional>

namespace pollenstall {

/**
 * Holds the latest event of each subject until it fits the ring.
 * The consumer may stall for long; a queue would grow without bound, and dropping would leave it
 * with a leaving server as Active for good. The latest event of each key says all and is bounded by
 * the fleet.
 */
class change_outbox {
public:
  void add(const membership_event &Event) {
    std::visit(
        overloaded{[&](const backend_changed &Changed) {
                     Backends.insert_or_assign(Changed.View.Announcement.Key, Event);
                   },
                   [&](const backend_gone &Gone) { Backends.insert_or_assign(Gone.Key, Event); },
                   [&](const host_changed &Changed) {
                     Hosts.insert_or_assign(Changed.View.Key.Host, Event);
                   },
                   [&](const views_fresh & /*Fresh*/) { Fresh = Event; },
                   [&](const superseded & /*By*/) { Replaced = Event; }},
        Event);
  }

  /// Moves what fits into the ring; changes first, since views_fresh vouches for them.
  void flush(bounded_ring<membership_event> &Ring) {
    flushMap(Hosts, Ring);
    flushMap(Backends, Ring);
    flushOne(Replaced, Ring);
    if (Backends.empty())
      flushOne(Fresh, Ring);
  }

  [[nodiscard]] bool empty() const {
    return Backends.empty() && Hosts.empty() && !Fresh && !Replaced;
  }

private:
  template <typename Map> static void flushMap(Map &Waiting, bounded_ring<membership_event> &Ring) {
    while (!Waiting.empty() && Ring.push(std::move(Waiting.begin()->second)))
      Waiting.erase(Waiting.begin());
  }
  static void flushOne(std::optional<membership_event> &Waiting,
                       bounded_ring<membership_event> &Ring) {
    if (Waiting && Ring.push(std::move(*Waiting)))
      Waiting.reset();
  }

  std::map<backend_key, membership_event> Backends;
  std::map<host_name, membership_event> Hosts;
  std::optional<membership_event> Fresh;
  std::optional<membership_event> Replaced;
};

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H
