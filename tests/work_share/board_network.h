/** @file board_network.h Many boards on a virtual network that loses, doubles and delays. */
#ifndef POLLENSTALL_TESTS_WORK_SHARE_BOARD_NETWORK_H
#define POLLENSTALL_TESTS_WORK_SHARE_BOARD_NETWORK_H

#include "work_exchange/work_exchange.h"
#include "work_share/work_report_codec_func.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

using std::chrono_literals::operator""ms;

/// Entries of several failure domains; time goes on in steps of a millisecond.
class board_network {
public:
  /// What goes wrong on the way.
  struct faults {
    double Lost{0};    ///< Part of the datagrams.
    double Doubled{0}; ///< Part of the datagrams.
    std::uint64_t DelayMs{1};
    std::uint64_t MoreDelayMs{0}; ///< At random, so that datagrams overtake each other.
  };

  board_network(std::size_t Count, std::size_t DomainCount) : Domains(DomainCount) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Entries.push_back(makeEntry(Number, 1));
    introduce();
  }

  static std::string address(std::size_t Number) {
    return "10.0." + std::to_string(Number / 200) + "." + std::to_string(Number % 200 + 1) + ":7";
  }
  static incarnation engine(std::size_t Number) { return incarnation(1'000 + Number); }

  static work_load load(std::size_t Engine, std::uint32_t Requests, std::uint32_t PrefillMs = 0) {
    work_load Load;
    Load.Incarnation = engine(Engine);
    Load.Requests = Requests;
    Load.PrefillMs = PrefillMs;
    return Load;
  }

  void introduce() {
    std::vector<work_entry> All;
    for (std::size_t Number = 0; Number < Entries.size(); ++Number)
      All.push_back({address(Number), domainOf(Number)});
    for (entry &Entry : Entries)
      Entry.Board->useEntries(All, Now);
  }

  /// What the entry has from now on; told again each 250 ms, as its decisions do.
  void has(std::size_t Number, std::vector<work_load> Loads, bool Urgent = false) {
    entry &Entry = Entries[Number];
    Entry.Own = std::move(Loads);
    Entry.OwnToldAt = Now;
    Entry.Board->setOwn(Entry.Own, Urgent, Now);
  }

  void run(std::chrono::milliseconds Span) {
    for (const mono_time End = Now + Span; Now < End; Now += 1ms)
      step();
  }

  void kill(std::size_t Number) { Entries[Number].Down = true; }
  void thaw(std::size_t Number) { Entries[Number].Down = false; }
  void restart(std::size_t Number) {
    Entries[Number] = makeEntry(Number, Entries[Number].Incarnation + 1);
    introduce();
  }

  /// @return What the entry thinks that all others have at an engine.
  [[nodiscard]] work_load thinks(std::size_t Number, std::size_t Engine) const {
    const auto Found = Entries[Number].Known.find(engine(Engine));
    if (Found == Entries[Number].Known.end() ||
        Now - Found->second.second > std::chrono::seconds(1))
      return load(Engine, 0);
    return after(Found->second.first, Now - Found->second.second);
  }
  [[nodiscard]] bool relays(std::size_t Number) const { return Entries[Number].Board->relays(); }
  [[nodiscard]] std::size_t size() const { return Entries.size(); }

  /// Sent by one entry since the counts were last cleared.
  struct sent_counts {
    std::size_t Datagrams{0};
    std::size_t Bytes{0};
    std::size_t MostReceivers{0}; ///< Of one round.
  };
  [[nodiscard]] const sent_counts &sent(std::size_t Number) const { return Entries[Number].Sent; }
  void clearCounts() {
    for (entry &Entry : Entries)
      Entry.Sent = {};
  }

  faults Faults;
  random_source Random{1};
  mono_time Now{std::chrono::hours(1)};

private:
  struct entry {
    std::unique_ptr<work_board> Board;
    std::vector<work_load> Own;
    mono_time OwnToldAt;
    std::map<incarnation, std::pair<work_load, mono_time>> Known;
    bool Down{false};
    std::uint64_t Incarnation{1};
    sent_counts Sent;
  };
  struct on_its_way {
    std::size_t To{0};
    std::string From;
    std::string Bytes;
  };

  [[nodiscard]] failure_domain_name domainOf(std::size_t Number) const {
    return failure_domain_name("d" + std::to_string(Number % Domains));
  }

  entry makeEntry(std::size_t Number, std::uint64_t Incarnation) const {
    entry Made;
    const process_key Process{host_name("e" + std::to_string(Number)), incarnation(Incarnation)};
    Made.Board = std::make_unique<work_board>(Process, address(Number));
    Made.OwnToldAt = Now;
    Made.Incarnation = Incarnation;
    return Made;
  }

  static std::size_t numberOf(const std::string &Address) {
    const std::size_t Dot = Address.rfind('.');
    const std::size_t High = std::stoul(Address.substr(5));
    return High * 200 + std::stoul(Address.substr(Dot + 1)) - 1;
  }

  void step() {
    const auto Due = Way.equal_range(Now);
    std::vector<on_its_way> Arrived;
    for (auto At = Due.first; At != Due.second; ++At)
      Arrived.push_back(std::move(At->second));
    Way.erase(Due.first, Due.second);
    for (const on_its_way &Datagram : Arrived)
      if (!Entries[Datagram.To].Down) {
        const auto Report =
            decodeWorkReport("fleet", {Datagram.Bytes.data(), Datagram.Bytes.size()});
        Entries[Datagram.To].Board->take(valueOf(Report), Datagram.From, Now);
      }
    for (std::size_t Number = 0; Number < Entries.size(); ++Number)
      if (!Entries[Number].Down)
        proceed(Number);
  }

  void proceed(std::size_t Number) {
    entry &Entry = Entries[Number];
    if (Now - Entry.OwnToldAt >= 250ms)
      has(Number, Entry.Own);
    if (Entry.Board->nextWake(Now) <= Now) {
      const std::vector<work_datagram> Out = Entry.Board->due(Now);
      std::set<std::string> Receivers;
      for (const work_datagram &Datagram : Out)
        Receivers.insert(Datagram.To);
      Entry.Sent.MostReceivers = std::max(Entry.Sent.MostReceivers, Receivers.size());
      for (const work_datagram &Datagram : Out)
        send(Number, Datagram);
    }
    for (const work_load &Load : Entry.Board->othersChanged(Now))
      Entry.Known[Load.Incarnation] = {Load, Now};
  }

  void send(std::size_t From, const work_datagram &Datagram) {
    const std::string Bytes = encodeWorkReport("fleet", Datagram.Report);
    ++Entries[From].Sent.Datagrams;
    Entries[From].Sent.Bytes += Bytes.size();
    const int Copies = 1 + (Random.chance(Faults.Doubled) ? 1 : 0);
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!Random.chance(Faults.Lost))
        Way.emplace(
            Now + std::chrono::milliseconds(Faults.DelayMs + Random.below(Faults.MoreDelayMs + 1)),
            on_its_way{numberOf(Datagram.To), address(From), Bytes});
  }

  std::size_t Domains;
  std::vector<entry> Entries;
  std::multimap<mono_time, on_its_way> Way;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_WORK_SHARE_BOARD_NETWORK_H
