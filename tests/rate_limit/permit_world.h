/** @file permit_world.h Entries before one backend server with a limit, on a virtual clock. */
#ifndef POLLENSTALL_TESTS_RATE_LIMIT_PERMIT_WORLD_H
#define POLLENSTALL_TESTS_RATE_LIMIT_PERMIT_WORLD_H

#include "rate_limit/rate_limit.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// What the entries, their network and the server are like.
struct world_settings {
  std::size_t Entries{8};
  double LostFraction{0}; ///< Datagrams that are lost.
  mono_duration MinDelay{std::chrono::microseconds(500)};
  mono_duration MaxDelay{std::chrono::milliseconds(4)};
  /// Requests a second of all entries together before they know of a limit.
  double UnlimitedRate{8};
  bool WorkWaits{true}; ///< Every entry has work for the server at any time.
  /// Time until the entries get the list without a lost entry: at least and at most.
  mono_duration MinListDelay{std::chrono::milliseconds(500)};
  mono_duration MaxListDelay{std::chrono::milliseconds(2'500)};
  /// An entry that is cut off admits no work after its lease.
  mono_duration Lease{std::chrono::milliseconds(3'500)};
  permit_tuning Permits{};
  std::size_t Servers{1}; ///< Alike; each work goes to a server chosen at random.
  std::uint64_t Seed{1};
};

/// Plays permit_client and permit_exchange of each entry, as the programs do.
class permit_world {
public:
  explicit permit_world(const world_settings &Values);

  /// Sets the limit that the server states from now on; empty: none.
  void state(std::optional<double> Limit);
  /// Makes all servers cold from now on for this time, at this rate. @param MaxDelay Time until the
  /// last entry learns of it. @param WasWarm Whether the entries listed them as warm before.
  void turnCold(double PerSecond, mono_duration ColdTime, mono_duration MaxDelay, bool WasWarm);
  void run(mono_duration Duration);

  /// @return Index of the entry that issues the permits.
  std::size_t issuer();
  void kill(std::size_t Entry);
  void restart(std::size_t Entry);
  void freeze(std::size_t Entry);
  void thaw(std::size_t Entry);
  /// Cuts the entry off from the other entries and from its list, not from the server.
  void cut(std::size_t Entry);
  void heal(std::size_t Entry);

  [[nodiscard]] mono_time now() const { return Now; }
  /// @return The most requests in any window of 4 s that ends at this time or later.
  [[nodiscard]] std::size_t mostInWindow(mono_time EndsFrom) const;
  /// @return The most requests at one server in any second that begins at this time or later.
  [[nodiscard]] std::size_t mostInSecond(mono_time BeginsFrom) const;
  /// @return The requests since then at the server that got the fewest.
  [[nodiscard]] std::size_t fewestSince(mono_time From) const;
  [[nodiscard]] std::size_t arrivedSince(mono_time From) const;
  /// @return Entries that are up and know a limit of the server.
  [[nodiscard]] std::size_t knowing() const;
  [[nodiscard]] std::size_t sentDatagrams() const { return Datagrams; }

private:
  struct node {
    std::string Address;
    std::unique_ptr<permit_client> Client;
    std::unique_ptr<permit_exchange> Exchange;
    bool Up{true};
    bool Frozen{false};
    mono_time CutAt{mono_time::max()};
    bool KnowsCold{false}; ///< Its list says that the servers are cold.
    std::uint64_t ListVersion{0};
    std::uint64_t Start{0};                  ///< Rises with each start of an entry.
    std::vector<std::function<void()>> Held; ///< Events of a frozen entry.
  };

  void at(mono_time Time, std::function<void()> Action);
  /// Runs an action of an entry, after its thaw if it is frozen.
  void atEntry(std::size_t Entry, mono_time Time, std::function<void()> Action);
  void start(std::size_t Entry);
  /// Steps an entry until it is killed.
  void tick(std::size_t Entry, std::uint64_t Start);
  void step(std::size_t Entry);
  void trySend(node &Node, std::size_t Entry, const backend_key &Server);
  void learnCold(std::size_t Entry, bool WasWarm);
  void send(std::size_t Entry, const backend_key &Server, const permit_stamp &Permit);
  void flush(std::size_t Entry);
  void deliver(std::size_t From, const permit_datagram &Datagram);
  void announceList();
  mono_duration between(mono_duration Low, mono_duration High);

  world_settings Settings;
  random_source Random;
  mono_time Now{std::chrono::seconds(1'000)};
  std::multimap<mono_time, std::function<void()>> Events;
  std::vector<node> Nodes;
  std::map<std::string, std::size_t> IndexByAddress;
  std::optional<double> Limit;
  std::map<incarnation, std::vector<mono_time>> ArrivalsAt; ///< By server.
  std::vector<mono_time> Arrivals;
  std::vector<backend_key> Servers;
  double ColdPerSecond{0};
  mono_time ColdUntil{mono_time::min()};
  std::size_t Datagrams{0};
  std::uint64_t Starts{0};
  std::uint64_t Lists{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_RATE_LIMIT_PERMIT_WORLD_H
