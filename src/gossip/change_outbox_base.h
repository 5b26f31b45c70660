/** @file change_outbox_base.h Events that wait for space in the ring to another thread. */
#ifndef POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H
#define POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H

#include "gossip/gossip_type.h"

#include <map>
#include <optional>

namespace pollenstall {

/**
 * Holds the latest event of each host and backend server until the ring has space for it. If the
 * consumer stalls, a plain queue would grow without bound, and dropping events could leave a
 * leaving backend server as Active at the consumer permanently. The latest events suffice, and
 * their number is bounded by the fleet's size.
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
                   [&](const views_fresh & /*Fresh*/) { Freshness = Event; },
                   [&](const superseded & /*By*/) { Supersession = Event; }},
        Event);
  }

  /// Moves as many events as fit into the ring. views_fresh is sent only when no backend
  /// server change waits, because it asserts that the consumer has all of them.
  void flush(bounded_ring<membership_event> &Ring) {
    flushMap(Hosts, Ring);
    flushMap(Backends, Ring);
    flushEvent(Supersession, Ring);
    if (Backends.empty())
      flushEvent(Freshness, Ring);
  }

  [[nodiscard]] bool empty() const {
    return Backends.empty() && Hosts.empty() && !Freshness && !Supersession;
  }

private:
  template <typename Map> static void flushMap(Map &Pending, bounded_ring<membership_event> &Ring) {
    while (!Pending.empty() && Ring.push(std::move(Pending.begin()->second)))
      Pending.erase(Pending.begin());
  }
  static void flushEvent(std::optional<membership_event> &Pending,
                         bounded_ring<membership_event> &Ring) {
    if (Pending && Ring.push(std::move(*Pending)))
      Pending.reset();
  }

  std::map<backend_key, membership_event> Backends;
  std::map<host_name, membership_event> Hosts;
  std::optional<membership_event> Freshness;
  std::optional<membership_event> Supersession;
};

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_CHANGE_OUTBOX_BASE_H
