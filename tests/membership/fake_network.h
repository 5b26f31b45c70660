/** @file fake_network.h A fleet on a virtual clock and a network that drops, delays, duplicates and
 * cuts messages. */
#ifndef POLLENSTALL_TESTS_MEMBERSHIP_FAKE_NETWORK_H
#define POLLENSTALL_TESTS_MEMBERSHIP_FAKE_NETWORK_H

#include "membership/membership.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenstall {

using namespace std::chrono_literals;

/// Faults of the network.
struct network_faults {
  double Drop{0};
  double Duplicate{0};
  mono_duration MinDelay{500us};
  mono_duration MaxDelay{2ms};
};

/// One process of the system on one host.
struct fake_host {
  std::unique_ptr<fleet_membership> Process; ///< Null while it is down.
  process_key Key;
  mono_time WakeAt; ///< Time of the pending wake event; events at other times are ignored.
  bool Frozen{false};
  std::vector<std::pair<membership_message, peer_address>> Unread; ///< Arrived while frozen.
};

/// A backend server that sends its announcements through the platform's load balancer.
struct fake_backend {
  backend_announcement Announcement;
  backend_load Load;
  std::size_t Host{0}; ///< The host that receives its announcements.
  bool Sticky{true}; ///< Announces to the same host while it runs; otherwise to another random host
                     ///< each time.
  bool Alive{true};
};

/// Discrete event simulation on a virtual clock; the same seed gives the same run.
class fake_network {
public:
  explicit fake_network(std::uint64_t Seed, membership_settings InitialSettings = {})
      : Random(Seed), Settings(InitialSettings) {}

  /// Called with every action of every process, including sent messages.
  std::function<void(std::size_t Host, const membership_action &)> OnAction;
  /// Called around each call of a fleet_membership, so that a benchmark can measure the call.
  std::function<void(const std::function<void()> &Call)> CallWrapper = [](const auto &Call) {
    Call();
  };
  network_faults Faults;
  random_source Random;
  std::vector<fake_host> Hosts;
  std::vector<fake_backend> Backends;
  std::set<std::pair<std::size_t, std::size_t>> Cuts; ///< Pairs of sender and receiver.
  std::uint64_t Steps{0};

  [[nodiscard]] mono_time now() const { return Now; }
  static peer_address addressOf(std::size_t Host) {
    return peer_address("10.0.0." + std::to_string(Host) + ":7000");
  }
  static std::string domainOf(std::size_t Index) { return "domain-" + std::to_string(Index % 3); }

  void addHosts(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Hosts.emplace_back();
      start(Hosts.size() - 1);
    }
  }

  /// Starts a host's process, or replaces it by a new incarnation.
  void start(std::size_t Index) {
    fake_host &Host = Hosts[Index];
    Host.Key = {host_name("host-" + std::to_string(Index)), incarnation(++LastIncarnation)};
    fleet_membership_builder Builder;
    Builder.self(Host.Key, failure_domain_name(domainOf(Index)))
        .address(addressOf(Index))
        .settings(Settings)
        .randomSeed(Random());
    for (std::size_t Seed = 0; Seed < 3; ++Seed)
      Builder.seed(addressOf(Seed));
    ByAddress[addressOf(Index)] = Index;
    Host.Process = std::make_unique<fleet_membership>(Builder.build(Now));
    Host.Frozen = false;
    Host.Unread.clear();
    processActions(Index);
  }
  void stop(std::size_t Index) {
    Hosts[Index].Process.reset();
    Hosts[Index].Frozen = false;
    Hosts[Index].Unread.clear();
  }
  void freeze(std::size_t Index) { Hosts[Index].Frozen = Hosts[Index].Process != nullptr; }
  /// Resumes a process. Its timers may run before it reads the messages that its socket received
  /// meanwhile.
  void thaw(std::size_t Index) { thaw(Index, Random.chance(0.5)); }
  void thaw(std::size_t Index, bool TimersFirst) {
    fake_host &Host = Hosts[Index];
    if (!Host.Frozen)
      return;
    Host.Frozen = false;
    if (TimersFirst)
      Host.Process->advance(Now);
    for (const auto &[Message, From] : std::exchange(Host.Unread, {}))
      Host.Process->receive(Message, From, Now);
    Host.Process->advance(Now);
    processActions(Index);
  }
  void cutBoth(std::size_t A, std::size_t B) {
    Cuts.emplace(A, B);
    Cuts.emplace(B, A);
  }

  std::size_t addBackend(bool Sticky = true) {
    const std::size_t Index = Backends.size();
    fake_backend Backend;
    Backend.Announcement.Key = {backend_address("10.1.0." + std::to_string(Index) + ":8000"),
                                incarnation(++LastIncarnation)};
    Backend.Announcement.Service = service_name("tactic-llm");
    Backend.Announcement.Domain = failure_domain_name(domainOf(Index));
    Backend.Announcement.Models = {model_name("base-model-7b"), model_name("adapter-a")};
    Backend.Announcement.Labels = {{"version", "1"}, {"gpu", "l40s"}};
    Backend.Announcement.Memory = memory_blocks(40960);
    Backend.Sticky = Sticky;
    Backend.Host = Random.below(Hosts.size());
    Backends.push_back(Backend);
    schedule(Now + mono_duration(Random.below(mono_duration(1s).count())), event_kind::Announce,
             Index);
    return Index;
  }
  /// Starts a new backend server at the same address.
  void restartBackend(std::size_t Index) {
    fake_backend &Backend = Backends[Index];
    Backend.Announcement.Key.Incarnation = incarnation(++LastIncarnation);
    Backend.Announcement.Leaving = false;
    Backend.Load = {};
    Backend.Alive = true;
  }
  /// Sends an announcement immediately, as a backend server does when it starts to leave.
  void announceNow(std::size_t Index) { announce(Index); }

  void runFor(mono_duration Span) {
    const mono_time End = Now + Span;
    while (!Events.empty() && Events.top().At <= End) {
      event Next = Events.top();
      Events.pop();
      Now = Next.At;
      ++Steps;
      handle(Next);
    }
    Now = End;
  }
  /// Runs until the condition holds. @return Whether it held within the time limit.
  bool runUntil(const std::function<bool()> &Condition, mono_duration Limit,
                mono_duration Step = 50ms) {
    const mono_time End = Now + Limit;
    while (!Condition()) {
      if (Now >= End)
        return false;
      runFor(Step);
    }
    return true;
  }

  [[nodiscard]] bool running(std::size_t Host) const {
    return Hosts[Host].Process != nullptr && !Hosts[Host].Frozen;
  }
  /// @return The status of a backend server in one host's view, or nothing if that host does not
  /// know it.
  [[nodiscard]] std::optional<backend_status> backendStatus(std::size_t Host,
                                                            std::size_t Backend) const {
    for (const backend_view &View : Hosts[Host].Process->views())
      if (View.Announcement.Key == Backends[Backend].Announcement.Key)
        return View.Status;
    return std::nullopt;
  }
  [[nodiscard]] bool allSeeBackend(std::size_t Backend,
                                   std::optional<backend_status> Expected) const {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      if (running(Host) && backendStatus(Host, Backend) != Expected)
        return false;
    return true;
  }
  [[nodiscard]] std::optional<host_status> hostStatus(std::size_t At, std::size_t Target) const {
    for (const host_view &View : Hosts[At].Process->hosts())
      if (View.Key == Hosts[Target].Key)
        return View.Status;
    return std::nullopt;
  }
  [[nodiscard]] bool allSeeHost(std::size_t Target, host_status Expected) const {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      if (Host != Target && running(Host) && hostStatus(Host, Target) != Expected)
        return false;
    return true;
  }
  [[nodiscard]] bool allSeeAllHostsAlive() const {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      if (running(Host) && !allSeeHost(Host, host_status::Alive))
        return false;
    return true;
  }

private:
  enum class event_kind { Deliver, Wake, Announce };
  struct event {
    mono_time At;
    std::uint64_t Order{0};
    event_kind Kind{event_kind::Wake};
    std::size_t Index{0}; ///< Index of the host or backend server.
    peer_address From;
    std::shared_ptr<const membership_message> Message;

    bool operator<(const event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  void schedule(mono_time At, event_kind Kind, std::size_t Index, peer_address From = {},
                std::shared_ptr<const membership_message> Message = {}) {
    Events.push({At, ++LastOrder, Kind, Index, std::move(From), std::move(Message)});
  }

  void handle(const event &Next) {
    if (Next.Kind == event_kind::Announce) {
      announce(Next.Index);
      schedule(Now + 1s, event_kind::Announce, Next.Index);
      return;
    }
    fake_host &Host = Hosts[Next.Index];
    if (Host.Process == nullptr)
      return;
    if (Next.Kind == event_kind::Deliver && Host.Frozen) {
      constexpr std::size_t SocketBuffer = 200;
      if (Host.Unread.size() < SocketBuffer)
        Host.Unread.emplace_back(*Next.Message, Next.From);
      return;
    }
    if (Host.Frozen || (Next.Kind == event_kind::Wake && Host.WakeAt != Now))
      return;
    if (Next.Kind == event_kind::Deliver)
      CallWrapper([&] { Host.Process->receive(*Next.Message, Next.From, Now); });
    else
      CallWrapper([&] { Host.Process->advance(Now); });
    processActions(Next.Index);
  }

  void announce(std::size_t Index) {
    fake_backend &Backend = Backends[Index];
    if (!Backend.Alive)
      return;
    ++Backend.Load.Sequence;
    Backend.Load.Running = static_cast<std::uint32_t>(Random.below(64));
    if (!Backend.Sticky || !running(Backend.Host))
      Backend.Host = pickAnnouncementHost();
    if (!running(Backend.Host))
      return;
    CallWrapper(
        [&] { Hosts[Backend.Host].Process->announce(Backend.Announcement, Backend.Load, Now); });
    processActions(Backend.Host);
  }

  /// @return The host to which the platform's load balancer sends an announcement. Its health
  /// checks lag, so the host may be down.
  std::size_t pickAnnouncementHost() {
    constexpr double LagChance = 0.2;
    std::vector<std::size_t> HealthyHosts;
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      if (running(Host))
        HealthyHosts.push_back(Host);
    const bool Lags = HealthyHosts.empty() || Random.chance(LagChance);
    return Lags ? Random.below(Hosts.size()) : HealthyHosts[Random.below(HealthyHosts.size())];
  }

  void processActions(std::size_t Index) {
    fake_host &Host = Hosts[Index];
    for (membership_action &Action : Host.Process->takeActions()) {
      if (OnAction)
        OnAction(Index, Action);
      if (auto *Send = std::get_if<send_message>(&Action))
        transmit(Index, *Send);
    }
    const mono_time Wake = std::max(Host.Process->nextWake(), Now + 1ms);
    if (Wake == Host.WakeAt)
      return;
    Host.WakeAt = Wake;
    schedule(Wake, event_kind::Wake, Index);
  }

  void transmit(std::size_t From, send_message &Send) {
    const auto Found = ByAddress.find(Send.To);
    if (Found != ByAddress.end())
      deliver(From, Found->second,
              std::make_shared<const membership_message>(std::move(Send.Message)));
  }

  void deliver(std::size_t From, std::size_t To,
               const std::shared_ptr<const membership_message> &Message) {
    const int Copies = Random.chance(Faults.Duplicate) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (Cuts.count({From, To}) != 0 || Random.chance(Faults.Drop))
        continue;
      const auto Spread = static_cast<std::uint64_t>((Faults.MaxDelay - Faults.MinDelay).count());
      const mono_duration Delay = Faults.MinDelay + mono_duration(Random.below(Spread + 1));
      schedule(Now + Delay, event_kind::Deliver, To, addressOf(From), Message);
    }
  }

  membership_settings Settings;
  std::unordered_map<peer_address, std::size_t> ByAddress;
  mono_time Now{mono_duration(1h)};
  std::priority_queue<event> Events;
  std::uint64_t LastOrder{0};
  std::uint64_t LastIncarnation{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_MEMBERSHIP_FAKE_NETWORK_H
