/** @file simulated_network.h Work views on a simulated network with losses, duplicates and delays.
 */
#ifndef POLLENSTALL_TESTS_WORK_SHARE_SIMULATED_NETWORK_H
#define POLLENSTALL_TESTS_WORK_SHARE_SIMULATED_NETWORK_H

#include "work_exchange/work_exchange.h"
#include "work_share/waiting_codec_func.h"
#include "work_share/work_report_codec_func.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

using std::chrono_literals::operator""ms;

/// Simulates entries of several failure domains in time steps of a millisecond.
class simulated_network {
public:
  /// Faults of the network.
  struct faults {
    double LossRate{0};        ///< Fraction of the datagrams.
    double DuplicationRate{0}; ///< Fraction of the datagrams.
    std::uint64_t DelayMs{1};
    std::uint64_t MaxExtraDelayMs{0}; ///< Random, so that datagrams overtake each other.
  };

  simulated_network(std::size_t Count, std::size_t DomainCount) : Domains(DomainCount) {
    for (std::size_t EntryIndex = 0; EntryIndex < Count; ++EntryIndex)
      Entries.push_back(makeEntry(EntryIndex, 1));
    publishEntries();
  }

  static std::string address(std::size_t EntryIndex) {
    return "10.0." + std::to_string(EntryIndex / 200) + "." + std::to_string(EntryIndex % 200 + 1) +
           ":7";
  }
  static incarnation engine(std::size_t EngineIndex) { return incarnation(1'000 + EngineIndex); }

  static work_load load(std::size_t Engine, std::uint32_t Requests, std::uint32_t PrefillMs = 0) {
    work_load Load;
    Load.Incarnation = engine(Engine);
    Load.Requests = Requests;
    Load.PrefillMs = PrefillMs;
    return Load;
  }

  void publishEntries() {
    std::vector<work_entry> All;
    for (std::size_t EntryIndex = 0; EntryIndex < Entries.size(); ++EntryIndex)
      All.push_back({address(EntryIndex), domainOf(EntryIndex)});
    for (entry &Entry : Entries)
      Entry.View->setEntries(All, Now);
  }

  /// Sets the entry's loads. run() repeats them every 250 ms, like the decision thread.
  void setLoads(std::size_t EntryIndex, std::vector<work_load> Loads, bool Urgent = false) {
    entry &Entry = Entries[EntryIndex];
    Entry.OwnLoads = std::move(Loads);
    Entry.OwnLoadsSetAt = Now;
    Entry.View->setOwnLoads(Entry.OwnLoads, Urgent, Now);
    Entry.View->setOwnWaiting(Entry.OwnWaiting, Now);
  }
  /// Sets how many requests wait at the entry, in the first class of one service.
  void setWaiting(std::size_t EntryIndex, std::uint16_t Count) {
    waiting_load Load{1, 0, {}};
    Load.Counts[0] = Count;
    Entries[EntryIndex].OwnWaiting = std::vector<waiting_load>(Count > 0 ? 1 : 0, Load);
    setLoads(EntryIndex, Entries[EntryIndex].OwnLoads);
  }

  void run(std::chrono::milliseconds Span) {
    for (const mono_time End = Now + Span; Now < End; Now += 1ms)
      step();
  }

  /// Stops the entry but keeps its state. resume() continues with that state, restart() without it.
  void stop(std::size_t EntryIndex) { Entries[EntryIndex].Down = true; }
  void resume(std::size_t EntryIndex) { Entries[EntryIndex].Down = false; }
  void restart(std::size_t EntryIndex) {
    Entries[EntryIndex] = makeEntry(EntryIndex, Entries[EntryIndex].Incarnation + 1);
    publishEntries();
  }

  /// @return The load of all other entries at an engine, as known to the entry.
  [[nodiscard]] work_load knownLoad(std::size_t EntryIndex, std::size_t Engine) const {
    const auto Found = Entries[EntryIndex].KnownLoads.find(engine(Engine));
    if (Found == Entries[EntryIndex].KnownLoads.end() ||
        Now - Found->second.second > std::chrono::seconds(1))
      return load(Engine, 0);
    return loadAfter(Found->second.first, Now - Found->second.second);
  }
  /// @return How many requests wait at all other entries, as known to the entry.
  [[nodiscard]] double knownWaiting(std::size_t EntryIndex) const {
    return waitingTotal(Entries[EntryIndex].KnownWaiting.of(1, Now));
  }
  [[nodiscard]] bool isRelay(std::size_t EntryIndex) const {
    return Entries[EntryIndex].View->isRelay();
  }
  [[nodiscard]] std::size_t size() const { return Entries.size(); }

  /// What one entry has sent since the last clearCounts().
  struct sent_counts {
    std::size_t Datagrams{0};
    std::size_t Bytes{0};
    std::size_t MostReceivers{0}; ///< In one round.
  };
  [[nodiscard]] const sent_counts &sent(std::size_t EntryIndex) const {
    return Entries[EntryIndex].Sent;
  }
  void clearCounts() {
    for (entry &Entry : Entries)
      Entry.Sent = {};
  }

  faults Faults;
  random_source Random{1};
  mono_time Now{std::chrono::hours(1)};

private:
  struct entry {
    std::unique_ptr<work_view> View;
    std::vector<work_load> OwnLoads;
    mono_time OwnLoadsSetAt;
    std::map<incarnation, std::pair<work_load, mono_time>> KnownLoads;
    std::vector<waiting_load> OwnWaiting;
    peer_waiting KnownWaiting{std::chrono::seconds(1)};
    bool Down{false};
    std::uint64_t Incarnation{1};
    sent_counts Sent;
  };
  struct in_flight_datagram {
    std::size_t Receiver{0};
    std::string Sender;
    std::string Bytes;
  };

  [[nodiscard]] failure_domain_name domainOf(std::size_t EntryIndex) const {
    return failure_domain_name("d" + std::to_string(EntryIndex % Domains));
  }

  entry makeEntry(std::size_t EntryIndex, std::uint64_t Incarnation) const {
    entry NewEntry;
    const process_key Process{host_name("e" + std::to_string(EntryIndex)),
                              incarnation(Incarnation)};
    NewEntry.View = std::make_unique<work_view>(Process, address(EntryIndex));
    NewEntry.OwnLoadsSetAt = Now;
    NewEntry.Incarnation = Incarnation;
    return NewEntry;
  }

  static std::size_t indexFromAddress(const std::string &Address) {
    const std::size_t Dot = Address.rfind('.');
    const std::size_t High = std::stoul(Address.substr(5));
    return High * 200 + std::stoul(Address.substr(Dot + 1)) - 1;
  }

  void step() {
    const auto Due = InFlight.equal_range(Now);
    std::vector<in_flight_datagram> Arrived;
    for (auto Position = Due.first; Position != Due.second; ++Position)
      Arrived.push_back(std::move(Position->second));
    InFlight.erase(Due.first, Due.second);
    for (const in_flight_datagram &Datagram : Arrived)
      if (!Entries[Datagram.Receiver].Down) {
        auto Report = decodeWorkReport("fleet", Datagram.Bytes);
        if (!succeeded(Report))
          Report = decodeWaitingReport("fleet", Datagram.Bytes);
        Entries[Datagram.Receiver].View->receive(valueOf(Report), Datagram.Sender, Now);
      }
    for (std::size_t EntryIndex = 0; EntryIndex < Entries.size(); ++EntryIndex)
      if (!Entries[EntryIndex].Down)
        runEntry(EntryIndex);
  }

  void runEntry(std::size_t EntryIndex) {
    entry &Entry = Entries[EntryIndex];
    if (Now - Entry.OwnLoadsSetAt >= 250ms)
      setLoads(EntryIndex, Entry.OwnLoads);
    if (Entry.View->nextWake(Now) <= Now) {
      const std::vector<work_datagram> OutDatagrams = Entry.View->dueDatagrams(Now);
      std::set<std::string> Receivers;
      for (const work_datagram &Datagram : OutDatagrams)
        Receivers.insert(Datagram.To);
      Entry.Sent.MostReceivers = std::max(Entry.Sent.MostReceivers, Receivers.size());
      for (const work_datagram &Datagram : OutDatagrams)
        send(EntryIndex, Datagram);
    }
    for (const work_load &Load : Entry.View->changedPeerLoads(Now))
      Entry.KnownLoads[Load.Incarnation] = {Load, Now};
    if (auto Waiting = Entry.View->changedPeerWaiting(Now))
      Entry.KnownWaiting.update(std::move(*Waiting), Now);
  }

  void send(std::size_t Sender, const work_datagram &Datagram) {
    const std::string Bytes = Datagram.Report.Waiting
                                  ? encodeWaitingReport("fleet", Datagram.Report)
                                  : encodeWorkReport("fleet", Datagram.Report);
    ++Entries[Sender].Sent.Datagrams;
    Entries[Sender].Sent.Bytes += Bytes.size();
    const int Copies = 1 + (Random.chance(Faults.DuplicationRate) ? 1 : 0);
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!Random.chance(Faults.LossRate))
        InFlight.emplace(Now + std::chrono::milliseconds(Faults.DelayMs +
                                                         Random.below(Faults.MaxExtraDelayMs + 1)),
                         in_flight_datagram{indexFromAddress(Datagram.To), address(Sender), Bytes});
  }

  std::size_t Domains;
  std::vector<entry> Entries;
  std::multimap<mono_time, in_flight_datagram> InFlight;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_WORK_SHARE_SIMULATED_NETWORK_H
