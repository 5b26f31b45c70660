/** @file news_queue_base.h Which records still have to be passed on, and how often. */
#ifndef POLLENSTALL_MEMBERSHIP_NEWS_QUEUE_BASE_H
#define POLLENSTALL_MEMBERSHIP_NEWS_QUEUE_BASE_H

#include <cstdint>
#include <map>
#include <vector>

namespace pollenstall {

/// Order in which news leaves when there is more than a datagram holds; the first goes first.
enum class news_priority : std::uint8_t { Leaving, Host, Lost, Announcement };

/// One subject that has to be passed on.
struct news_item {
  std::uint64_t Subject{0};
  news_priority Priority{news_priority::Announcement};
  std::uint32_t Rounds{0}; ///< Rounds of gossip in which it is still to be sent.
  bool Whole{false};       ///< The whole record, where a load digest would not say it.
};

/// News by subject; adding a subject again starts its rounds anew.
class news_queue {
public:
  /// Adds a subject, or renews it at the more urgent of both priorities.
  void add(const news_item &Item) {
    const auto [Found, Added] = Items.emplace(Item.Subject, Item);
    if (Added)
      return;
    Found->second.Rounds = Item.Rounds;
    Found->second.Whole = Found->second.Whole || Item.Whole;
    if (Item.Priority < Found->second.Priority)
      Found->second.Priority = Item.Priority;
  }

  /// @return All that is queued, the most urgent and least often sent first.
  [[nodiscard]] std::vector<news_item> inOrder() const;

  /// Notes that a subject was sent in one round.
  void sent(std::uint64_t Subject) {
    const auto Found = Items.find(Subject);
    if (Found != Items.end() && --Found->second.Rounds == 0)
      Items.erase(Found);
  }

  [[nodiscard]] bool empty() const { return Items.empty(); }
  [[nodiscard]] std::size_t size() const { return Items.size(); }

private:
  std::map<std::uint64_t, news_item> Items;
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_NEWS_QUEUE_BASE_H
