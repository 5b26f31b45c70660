/** @file work_view_test.cpp What entries know of each other's work, and the cost of the reports. */
#include "simulated_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace pollenstall {
namespace {

/// A workload, in which entry i has 1 + i % 3 requests at engine i % Engines, and the loads that
/// each entry should know of it.
struct expected_work {
  std::size_t Engines{24};

  void applyTo(simulated_network &Net) const {
    for (std::size_t EntryIndex = 0; EntryIndex < Net.size(); ++EntryIndex)
      Net.setLoads(EntryIndex, {simulated_network::load(EntryIndex % Engines, 1 + EntryIndex % 3)});
  }
  [[nodiscard]] std::uint32_t otherRequestsAt(const simulated_network &Net, std::size_t Entry,
                                              std::size_t Engine) const {
    std::uint32_t Sum = 0;
    for (std::size_t EntryIndex = 0; EntryIndex < Net.size(); ++EntryIndex)
      if (EntryIndex != Entry && EntryIndex % Engines == Engine)
        Sum += 1 + EntryIndex % 3;
    return Sum;
  }
  /// @return The number of loads that entries know wrongly.
  [[nodiscard]] std::size_t countWrong(const simulated_network &Net,
                                       const std::vector<std::size_t> &Excluded = {}) const {
    std::size_t WrongLoads = 0;
    for (std::size_t Entry = 0; Entry < Net.size(); ++Entry) {
      if (std::find(Excluded.begin(), Excluded.end(), Entry) != Excluded.end())
        continue;
      for (std::size_t Engine = 0; Engine < Engines; ++Engine) {
        std::uint32_t Expected = otherRequestsAt(Net, Entry, Engine);
        for (const std::size_t Gone : Excluded)
          if (Gone % Engines == Engine)
            Expected -= 1 + static_cast<std::uint32_t>(Gone % 3);
        WrongLoads += Net.knownLoad(Entry, Engine).Requests == Expected ? 0 : 1;
      }
    }
    return WrongLoads;
  }
};

std::size_t findRelay(const simulated_network &Net) {
  for (std::size_t EntryIndex = 0; EntryIndex < Net.size(); ++EntryIndex)
    if (Net.isRelay(EntryIndex))
      return EntryIndex;
  return Net.size();
}

// ---- Groups. ----

std::vector<work_entry> entriesOf(std::size_t Count, std::size_t Domains) {
  std::vector<work_entry> Entries;
  for (std::size_t EntryIndex = 0; EntryIndex < Count; ++EntryIndex)
    Entries.push_back({simulated_network::address(EntryIndex),
                       failure_domain_name("d" + std::to_string(EntryIndex % Domains))});
  return Entries;
}

std::map<std::string, std::string> relayByEntry(const std::vector<work_entry> &Entries) {
  std::map<std::string, std::string> Relays;
  for (const work_group &Group : planGroups(Entries, work_share_tuning().MaxDirectEntries))
    for (const std::string &Address : Group)
      Relays[Address] = Group.front();
  return Relays;
}

// Entries restart one after the other, and each is absent for a moment. If every entry of its
// failure domain switched to another relay each time, work would be counted twice or not at all
// during the whole rollout.
TEST(Groups, AreStableWhenOneEntryIsAbsent) {
  const std::vector<work_entry> All = entriesOf(195, 5);
  const auto RelaysBefore = relayByEntry(All);
  std::size_t Moved = 0;
  for (std::size_t Absent = 0; Absent < All.size(); ++Absent) {
    std::vector<work_entry> Remaining = All;
    Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Absent));
    for (const auto &[Address, Relay] : relayByEntry(Remaining))
      Moved += Relay != RelaysBefore.at(Address) && RelaysBefore.at(Address) != All[Absent].Address
                   ? 1
                   : 0;
  }
  EXPECT_LE(Moved, 2 * All.size())
      << "on average, at most two entries whose own relay is present change their relay";
}

TEST(Groups, ContainEachEntryOnceAndOneFailureDomain) {
  for (const std::size_t Count : {1U, 8U, 16U, 17U, 59U, 195U, 320U}) {
    const std::vector<work_entry> All = entriesOf(Count, 5);
    std::map<std::string, failure_domain_name> Domains;
    for (const work_entry &Entry : All)
      Domains[Entry.Address] = Entry.Domain;
    std::set<std::string> Seen;
    for (const work_group &Group : planGroups(All, work_share_tuning().MaxDirectEntries))
      for (const std::string &Address : Group) {
        EXPECT_TRUE(Seen.insert(Address).second);
        EXPECT_EQ(Domains.at(Address), Domains.at(Group.front()));
      }
    EXPECT_EQ(Seen.size(), Count);
  }
}

// ---- Few entries. ----

// Two entries that place work at the same time choose the same engine unless they learn of each
// other's choice at once. Eight entries therefore report to each other without a relay.
TEST(FewEntries, ReportToEachOtherDirectly) {
  simulated_network Net(8, 3);
  Net.run(50ms);
  Net.setLoads(3, {simulated_network::load(5, 2)});
  Net.run(12ms);
  for (std::size_t Entry = 0; Entry < 8; ++Entry)
    EXPECT_EQ(Net.knownLoad(Entry, 5).Requests, Entry == 3 ? 0U : 2U) << Entry;
}

// The receiver extrapolates the progress of a prefill. Reporting it every 10 ms would take as many
// datagrams as all other changes.
TEST(FewEntries, DoNotReportPrefillProgress) {
  simulated_network Net(8, 3);
  Net.run(50ms);
  Net.setLoads(0, {simulated_network::load(1, 1, 3'000)});
  Net.run(20ms);
  Net.clearCounts();
  for (std::uint32_t Step = 1; Step <= 20; ++Step) {
    Net.setLoads(0, {simulated_network::load(1, 1, 3'000 - 20 - Step * 10)});
    Net.run(10ms);
  }
  EXPECT_LE(Net.sent(0).Datagrams, 7U);
  EXPECT_NEAR(Net.knownLoad(4, 1).PrefillMs, 2'780, 30);
}

// ---- Many entries. ----

// 195 entries that each reported to all others saturated their links of 20 Mbit/s. Heartbeats and
// leases queued behind the reports, which were seconds old on arrival.
TEST(ManyEntries, KnowAllWorkAndReportToFew) {
  simulated_network Net(195, 5);
  Net.run(600ms);
  Net.clearCounts();
  const expected_work Work{150};
  // All begin in the same millisecond, so that each relay must report 150 engines in one round.
  Work.applyTo(Net);
  Net.run(200ms);
  EXPECT_EQ(Work.countWrong(Net), 0U);
  std::size_t Relays = 0;
  for (std::size_t EntryIndex = 0; EntryIndex < Net.size(); ++EntryIndex) {
    Relays += Net.isRelay(EntryIndex) ? 1 : 0;
    const auto Root = static_cast<std::size_t>(std::ceil(std::sqrt(195.0)));
    EXPECT_LE(Net.sent(EntryIndex).MostReceivers, Net.isRelay(EntryIndex) ? 2 * Root + 5 : 1U)
        << EntryIndex;
  }
  EXPECT_LE(Relays, 15U);
}

// The bytes sent by an ordinary entry depend on its own work, not on the number of entries.
TEST(ManyEntries, SendNoMoreBytesFromAnOrdinaryEntryOfALargerFleet) {
  std::vector<std::size_t> Bytes;
  for (const std::size_t Count : {59U, 195U, 320U}) {
    simulated_network Net(Count, 5);
    Net.run(600ms);
    expected_work{24}.applyTo(Net);
    Net.run(200ms);
    Net.clearCounts();
    Net.run(1'000ms);
    std::size_t MaxBytes = 0;
    for (std::size_t EntryIndex = 0; EntryIndex < Count; ++EntryIndex)
      if (!Net.isRelay(EntryIndex))
        MaxBytes = std::max(MaxBytes, Net.sent(EntryIndex).Bytes);
    Bytes.push_back(MaxBytes);
  }
  EXPECT_LE(Bytes[2], Bytes[0] + Bytes[0] / 10);
}

// A long prefill is reported as urgent before it begins, so that two entries do not begin on the
// same engine. The two relays on its path must not delay it until their next rounds.
TEST(ManyEntries, LearnOfUrgentWorkAtOnce) {
  simulated_network Net(195, 5);
  Net.run(600ms);
  expected_work{150}.applyTo(Net);
  Net.run(500ms);
  for (std::size_t Step = 0; Step < 20; ++Step) {
    const std::size_t UrgentEntry = Step * 7;
    Net.setLoads(UrgentEntry, {simulated_network::load(150 + Step, 1, 900)}, true);
    Net.run(5ms);
    for (std::size_t Entry = 0; Entry < Net.size(); ++Entry)
      ASSERT_TRUE(Entry == UrgentEntry || Net.knownLoad(Entry, 150 + Step).PrefillMs > 800)
          << Step << " at " << Entry;
  }
}

// If two entries have a prefill on an engine at the same time, its load contains the lowest
// precedence of the two, whichever relay computed the sum.
TEST(ManyEntries, KnowTheLowestPrecedence) {
  simulated_network Net(59, 3);
  Net.run(600ms);
  work_load First = simulated_network::load(4, 1, 500);
  First.LowestClaimRank = 77;
  work_load Second = First;
  Second.LowestClaimRank = 99;
  Net.setLoads(1, {Second});
  Net.setLoads(40, {First});
  Net.run(100ms);
  EXPECT_EQ(Net.knownLoad(20, 4).LowestClaimRank, 77U);
  EXPECT_EQ(Net.knownLoad(40, 4).LowestClaimRank, 99U);
}

// fleet_run, the model of a whole fleet, computes traffic from workReportSize(), which must match
// the encoder.
TEST(WorkReport, HasTheDeclaredSize) {
  for (const std::size_t Count : {0U, 3U, 56U}) {
    work_report Report;
    Report.Sender = {host_name("entry-12"), incarnation(5)};
    for (std::size_t Engine = 0; Engine < Count; ++Engine)
      Report.Loads.push_back(simulated_network::load(Engine, 2, 100));
    EXPECT_EQ(encodeWorkReport("fleet", Report).size(), workReportSize("fleet", "entry-12", Count));
    EXPECT_LE(encodeWorkReport("fleet", Report).size(), MaxReportBytes);
  }
}

// The wire format rounds memory up and limits values to the range of their field; everything else
// is unchanged.
TEST(WorkReport, KeepsItsContentOnTheWire) {
  work_report Report;
  Report.Sender = {host_name("e"), incarnation(5)};
  Report.Sequence = 9;
  Report.Scope = report_scope::Group;
  Report.Urgent = true;
  Report.Loads.push_back({incarnation(7), 3, 2, 450, 5'001, 250, 77});
  Report.Loads.push_back({incarnation(8), 700, 600, 100'000, 0, 0, 0});
  const std::string Bytes = encodeWorkReport("fleet", Report);
  const auto Decoded = decodeWorkReport("fleet", {Bytes.data(), Bytes.size()});
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded).Scope, report_scope::Group);
  EXPECT_TRUE(valueOf(Decoded).Urgent);
  EXPECT_EQ(valueOf(Decoded).Loads[0], (work_load{incarnation(7), 3, 2, 450, 5'056, 250, 77}));
  EXPECT_EQ(valueOf(Decoded).Loads[1], (work_load{incarnation(8), 255, 255, 65'535, 0, 0, 0}));
  EXPECT_FALSE(succeeded(decodeWorkReport("other", {Bytes.data(), Bytes.size()})));
}

// ---- Faults. ----

struct relayed_fleet_test : testing::Test {
  simulated_network Net{59, 3};
  expected_work Work{60};

  void SetUp() override {
    Net.run(600ms);
    Work.applyTo(Net);
    Net.run(300ms);
    ASSERT_EQ(Work.countWrong(Net), 0U);
  }
};

// The host of a relay loses power. Without a new relay, its group would not learn of other work,
// and no other entry would learn of the group's work.
TEST_F(relayed_fleet_test, ContinuesWithoutARelay) {
  const std::size_t Dead = findRelay(Net);
  Net.stop(Dead);
  Net.run(500ms);
  Net.setLoads(50, {simulated_network::load(70, 5)});
  Net.run(150ms);
  for (std::size_t Entry = 0; Entry < Net.size(); ++Entry)
    EXPECT_TRUE(Entry == Dead || Entry == 50 || Net.knownLoad(Entry, 70).Requests == 5) << Entry;
}

// The dead relay's sum counts in addition to that of its successor until it expires, a second after
// the last report. 1,600 ms also cover the replacement after 300 ms and the rounds of reports.
TEST_F(relayed_fleet_test, ExpiresTheWorkOfADeadRelay) {
  const std::size_t Dead = findRelay(Net);
  Net.stop(Dead);
  Net.run(1'600ms);
  EXPECT_EQ(Work.countWrong(Net, {Dead}), 0U);
}

// Work expires a second after the last report; 1,200 ms also cover the rounds of reports.
TEST_F(relayed_fleet_test, ExpiresTheWorkOfADeadEntry) {
  std::size_t Dead = 0;
  while (Net.isRelay(Dead))
    ++Dead;
  Net.stop(Dead);
  Net.run(1'200ms);
  EXPECT_EQ(Work.countWrong(Net, {Dead}), 0U);
}

// A relay freezes for four seconds and resumes with its state of that time. It must not report to
// its group that all other work has ended.
TEST_F(relayed_fleet_test, IgnoresStaleStateOfAResumedRelay) {
  const std::size_t Frozen = findRelay(Net);
  Net.stop(Frozen);
  Net.run(4'000ms);
  Net.resume(Frozen);
  for (int Step = 0; Step < 100; ++Step) {
    Net.run(20ms);
    for (std::size_t Entry = 0; Entry < Net.size(); ++Entry)
      for (std::size_t Engine = 0; Engine < Work.Engines; ++Engine)
        // The work of the frozen entry itself may be missing.
        ASSERT_TRUE(Entry == Frozen || Engine == Frozen ||
                    Net.knownLoad(Entry, Engine).Requests >=
                        Work.otherRequestsAt(Net, Entry, Engine))
            << Step << ": entry " << Entry << ", engine " << Engine;
  }
  Net.run(1'000ms);
  EXPECT_EQ(Work.countWrong(Net), 0U);
}

TEST_F(relayed_fleet_test, UsesARestartedRelayAgain) {
  const std::size_t Restarted = findRelay(Net);
  Net.stop(Restarted);
  Net.run(700ms);
  Net.restart(Restarted);
  Work.applyTo(Net);
  Net.run(2'500ms);
  EXPECT_EQ(Work.countWrong(Net), 0U);
  EXPECT_TRUE(Net.isRelay(Restarted));
}

TEST_F(relayed_fleet_test, RecoversFromLostDatagrams) {
  Net.Faults.LossRate = 0.2;
  for (std::size_t EntryIndex = 0; EntryIndex < Net.size(); ++EntryIndex)
    Net.setLoads(EntryIndex, {simulated_network::load((EntryIndex + 1) % 60, 2)});
  Net.run(400ms);
  Net.Faults.LossRate = 0;
  Net.run(1'700ms);
  std::size_t WrongLoads = 0;
  for (std::size_t Entry = 0; Entry < Net.size(); ++Entry)
    for (std::size_t Engine = 0; Engine < 60; ++Engine) {
      // With 59 entries, engine 0 has no work. An entry does not count its own work.
      const std::uint32_t Expected = Engine > 0 && Engine != Entry + 1 ? 2 : 0;
      WrongLoads += Net.knownLoad(Entry, Engine).Requests == Expected ? 0 : 1;
    }
  EXPECT_EQ(WrongLoads, 0U);
}

// Datagrams are lost, duplicated and reordered, hosts fail and restart, and work changes. After 2.5
// seconds without faults, all running entries know the work of all running entries.
RC_GTEST_PROP(FaultyFleet, KnowsAllWorkAfterTheFaultsEnd, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto Count = static_cast<std::size_t>(*rc::gen::inRange(3, 60));
  simulated_network Net(Count, 3);
  Net.Random = random_source(Seed);
  Net.Faults = {0.05, 0.05, 1, 6};
  Net.run(500ms);
  std::vector<std::size_t> Down;
  const auto IsDown = [&Down](std::size_t EntryIndex) {
    return std::find(Down.begin(), Down.end(), EntryIndex) != Down.end();
  };
  for (int Step = 0; Step < 30; ++Step) {
    const auto EntryIndex = static_cast<std::size_t>(Net.Random.below(Count));
    if (Net.Random.chance(0.1) && Down.size() + 1 < Count && !IsDown(EntryIndex)) {
      Net.stop(EntryIndex);
      Down.push_back(EntryIndex);
    } else if (Net.Random.chance(0.1) && !Down.empty()) {
      Net.restart(Down.back());
      Down.pop_back();
    } else if (!IsDown(EntryIndex)) {
      Net.setLoads(EntryIndex, {simulated_network::load(Net.Random.below(20), 1, 200)},
                   Net.Random.chance(0.3));
    }
    Net.run(std::chrono::milliseconds(Net.Random.below(60)));
  }
  Net.Faults = {};
  const expected_work Work{20};
  Work.applyTo(Net);
  Net.run(2'500ms);
  RC_ASSERT(Work.countWrong(Net, Down) == 0U);
}

} // namespace
} // namespace pollenstall
