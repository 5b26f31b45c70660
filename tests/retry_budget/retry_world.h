/** @file retry_world.h Entries before one failing service, on a virtual clock. */
#ifndef POLLENSTALL_TESTS_RETRY_BUDGET_RETRY_WORLD_H
#define POLLENSTALL_TESTS_RETRY_BUDGET_RETRY_WORLD_H

#include "retry_budget/retry_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// What the entries, their network and the load are like.
struct world_settings {
  std::size_t Entries{8};
  double Share{0.2}; ///< Retries per request.
  double Reserve{104};
  mono_duration Window{std::chrono::seconds(10)};
  double RequestsPerSecond{60}; ///< Of all entries together.
  double LostFraction{0};       ///< Datagrams that are lost.
  mono_duration MinDelay{std::chrono::microseconds(500)};
  mono_duration MaxDelay{std::chrono::milliseconds(4)};
  /// From the decision on a retry to its arrival.
  mono_duration MaxLateness{std::chrono::milliseconds(200)};
  mono_duration MinListDelay{std::chrono::milliseconds(20)};
  mono_duration MaxListDelay{std::chrono::milliseconds(1'500)};
  mono_duration Lease{std::chrono::milliseconds(3'500)};
  std::uint64_t Seed{1};
};

/// Plays the retry budgets of all entries, and counts what the servers of the service get.
class retry_world {
public:
  explicit retry_world(const world_settings &Values);

  void run(mono_duration Duration);
  /// Sets the probability that an attempt fails; at one entry, or at all.
  void fail(double Probability);
  void failAt(std::size_t Entry, double Probability);
  /// Moves the load of some entries to the others.
  void shiftLoad(const std::vector<std::size_t> &From);
  /// Gives one entry enough load to use up the budget; the others share the rest.
  void concentrateLoad(std::size_t Entry);
  /// Breaks streams of an entry that are then asked for elsewhere, and do not fail there.
  void breakStreams(std::size_t Entry, std::size_t Count);
  /// Does one of the things below to a random entry.
  void disturb();
  void kill(std::size_t Entry);
  void restart(std::size_t Entry);
  void freeze(std::size_t Entry);
  void thaw(std::size_t Entry);
  /// Cuts the entry off from control and from the other entries.
  void cut(std::size_t Entry);
  void heal(std::size_t Entry);
  /// A new leader lists the entries as they connect, one after the other.
  void replaceLeader();

  [[nodiscard]] std::size_t entries() const { return Nodes.size(); }
  [[nodiscard]] bool isUp(std::size_t Entry) const { return Nodes[Entry].Up; }
  [[nodiscard]] mono_time now() const { return Now; }
  /// @return The highest excess over the bound in any window; negative if it is kept.
  [[nodiscard]] double worstExcess() const;
  /// @return The part of the bound that was used on average in windows that end in this time.
  [[nodiscard]] double use(mono_time From, mono_time To) const;
  [[nodiscard]] std::size_t retriesSince(mono_time From) const;
  [[nodiscard]] std::size_t sentDatagrams() const { return Datagrams; }
  [[nodiscard]] random_source &random() { return Random; }

private:
  struct node {
    std::string Address;
    std::unique_ptr<shared_retry_budget> Budget;
    double FailProbability{0};
    double Load{1}; ///< Part of the usual load of an entry.
    bool Up{true};
    bool Frozen{false};
    bool Cut{false};
    std::uint64_t Start{0};
    std::uint64_t ListVersion{0};
    std::size_t Waiting{0};                  ///< Retries that wait for a loan.
    std::vector<std::function<void()>> Held; ///< Events of a frozen entry.
  };

  void at(mono_time Time, std::function<void()> Action);
  /// Runs an action of the present incarnation of an entry, after its thaw if it is frozen.
  void atEntry(std::size_t Entry, mono_time Time, std::function<void()> Action);
  void start(std::size_t Entry);
  void renewLease(std::size_t Entry);
  void generate(std::size_t Entry);
  void beginRequest(std::size_t Entry);
  void endAttempt(std::size_t Entry, int Retries);
  void tryRetry(std::size_t Entry, int Retries, mono_time Until);
  void startRetry(std::size_t Entry, int Retries);
  void flush(std::size_t Entry);
  void deliver(std::size_t From, const retry_datagram &Datagram);
  [[nodiscard]] std::vector<std::size_t> listed() const;
  void announceList(const std::vector<std::size_t> &Members);
  void applyList(std::size_t Entry, const std::vector<std::size_t> &Members);
  mono_duration between(mono_duration Low, mono_duration High);
  [[nodiscard]] double allowed(mono_time End) const;
  [[nodiscard]] double retried(mono_time End) const;

  world_settings Settings;
  random_source Random;
  mono_time Now{std::chrono::seconds(1'000)};
  std::multimap<mono_time, std::function<void()>> Events;
  std::vector<node> Nodes;
  std::map<std::string, std::size_t> IndexByAddress;
  std::vector<mono_time> Requests; ///< When callers sent them.
  std::vector<mono_time> Retries;  ///< When they arrived; sorted by end of run().
  std::size_t Datagrams{0};
  std::uint64_t Starts{0};
  std::uint64_t Lists{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_RETRY_BUDGET_RETRY_WORLD_H
