/** @file update_queue_base.h Queue of records to gossip. */
#ifndef POLLENSTALL_MEMBERSHIP_UPDATE_QUEUE_BASE_H
#define POLLENSTALL_MEMBERSHIP_UPDATE_QUEUE_BASE_H

#include <cstdint>
#include <map>
#include <vector>

namespace pollenstall {

/// The order in which updates are sent when they exceed a datagram, most urgent first.
enum class update_priority : std::uint8_t { Leaving, Host, Lost, Announcement };

/// One subject that has to be gossiped.
struct queued_update {
  std::uint64_t Subject{0};
  update_priority Priority{update_priority::Announcement};
  std::uint32_t Rounds{0}; ///< Remaining gossip rounds in which it is to be sent.
  bool FullRecord{false};  ///< Send the full record; a load digest does not contain the change.
};

/// Updates by subject. Adding a subject again restarts its rounds.
class update_queue {
public:
  /// Adds a subject, or restarts it with the more urgent of both priorities.
  void add(const queued_update &Update) {
    const auto [Existing, Added] = Items.emplace(Update.Subject, Update);
    if (Added)
      return;
    Existing->second.Rounds = Update.Rounds;
    Existing->second.FullRecord = Existing->second.FullRecord || Update.FullRecord;
    if (Update.Priority < Existing->second.Priority)
      Existing->second.Priority = Update.Priority;
  }

  /// @return All queued updates, the most urgent and least often sent first.
  [[nodiscard]] std::vector<queued_update> byUrgency() const;

  /// Records that a subject was sent in one round.
  void recordSent(std::uint64_t Subject) {
    const auto Existing = Items.find(Subject);
    if (Existing != Items.end() && --Existing->second.Rounds == 0)
      Items.erase(Existing);
  }

  [[nodiscard]] bool empty() const { return Items.empty(); }
  [[nodiscard]] std::size_t size() const { return Items.size(); }

private:
  std::map<std::uint64_t, queued_update> Items;
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_UPDATE_QUEUE_BASE_H
