/** @file evacuation_lease_test.cpp Leases and acknowledgements while failure domains are evacuated.
 */
#include "control_link/control_link_message_type.h"
#include "entry_server_base.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Lease{3'500};
constexpr milliseconds EvacuateWithin{5'000};

entry_server_options serverOptions() {
  entry_server_options Options;
  Options.Leases.Lease = Lease;
  Options.EvacuateWithin = EvacuateWithin;
  return Options;
}

/// The leader and as many entries as the parameter says, which confirm only what a test says.
class EvacuationLeaseTest : public testing::TestWithParam<std::uint64_t> {
protected:
  EvacuationLeaseTest() : EntryServer(serverOptions(), hooks()) {
    EntryServer.startLeading(Now);
    Now += 2 * Lease; // Past the leases of a previous leader.
    connectAll();
  }

  entry_server_callbacks hooks() {
    entry_server_callbacks Callbacks;
    Callbacks.Send = [this](outgoing_reply Outgoing) { Sent.push_back(std::move(Outgoing)); };
    Callbacks.MayServe = [this](mono_time) { return HoldsLease; };
    Callbacks.LeaderAddress = [] { return std::string(); };
    Callbacks.State = [this]() -> const control_state & { return State; };
    return Callbacks;
  }

  void connectAll() {
    for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry) {
      connect(Entry);
      EXPECT_GT(renew(Entry), 0U);
    }
  }

  static process_key processOf(std::uint64_t Entry, std::uint64_t Incarnation) {
    return {host_name("e" + std::to_string(Entry)), incarnation(Incarnation)};
  }

  void connect(std::uint64_t Entry, std::uint64_t Incarnation = 1) {
    handle(Entry, link_subscribe{processOf(Entry, Incarnation), failure_domain_name("a")});
  }

  link_renew renewal(std::uint64_t Entry, std::uint64_t Incarnation) {
    return {++RenewId, processOf(Entry, Incarnation), revision(0), State.drainsVersion(), {}};
  }

  /// Renews as an entry that has received no list. @return The duration of the lease; 0: none.
  std::uint32_t renew(std::uint64_t Entry, std::uint64_t Incarnation = 1) {
    return handle(Entry, renewal(Entry, Incarnation));
  }

  /// Renews as an entry that has received the current list. @return As renew().
  std::uint32_t confirm(std::uint64_t Entry, std::optional<std::uint64_t> Version,
                        std::uint32_t RequestsLeft = 0, std::uint64_t Incarnation = 1) {
    return handle(Entry, link_renew_evacuations{renewal(Entry, Incarnation), version(), Version,
                                                RequestsLeft});
  }

  std::uint32_t handle(std::uint64_t Entry, link_request Request) {
    const std::size_t Before = Sent.size();
    EntryServer.handle({connection_number(Entry), std::move(Request)}, Now);
    for (std::size_t At = Before; At < Sent.size(); ++At)
      if (const auto *Granted = std::get_if<link_lease>(&Sent[At].Reply))
        return Granted->LeaseMillis;
    return 0;
  }

  /// Executes a command as the log does. @return The version of the list.
  std::uint64_t set(const std::string &Domain, bool Undo = false) {
    const set_evacuation Command{failure_domain_name(Domain), Undo, unix_millis(1)};
    State.execute(Command);
    EntryServer.evacuationsChanged(Command, Now);
    return version();
  }
  [[nodiscard]] std::uint64_t version() const { return State.evacuations().version(); }
  [[nodiscard]] bool mayAcknowledge() const {
    return EntryServer.mayAcknowledgeEvacuation(version(), Now);
  }

  /// @return The number of messages of this kind sent since the last call.
  template <typename Message> std::size_t take() {
    const auto Count = std::count_if(Sent.begin(), Sent.end(), [](const outgoing_reply &Outgoing) {
      return std::holds_alternative<Message>(Outgoing.Reply);
    });
    Sent.clear();
    return static_cast<std::size_t>(Count);
  }
  std::size_t takeLists() { return take<link_evacuations>(); }

  bool HoldsLease{true};
  control_state State{control_limits{}};
  std::vector<outgoing_reply> Sent;
  entry_server EntryServer;
  mono_time Now{std::chrono::seconds(50)};
  std::uint64_t RenewId{0};
};

INSTANTIATE_TEST_SUITE_P(Entries, EvacuationLeaseTest, testing::Values(3, 76, 320),
                         [](const auto &Info) { return std::to_string(Info.param); });

// An entry of an earlier build cannot read the list and drops the connection at it. Until the first
// evacuation it must be served as before.
TEST_P(EvacuationLeaseTest, EntriesAreServedAsBeforeUntilTheFirstEvacuation) {
  for (int Times = 0; Times < 20; ++Times) {
    Now += Lease / 2;
    for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
      EXPECT_EQ(renew(Entry), 3'500U);
  }
  EXPECT_EQ(takeLists(), 0U);
}

TEST_P(EvacuationLeaseTest, EveryEntryReceivesTheListAtOnceAndOnce) {
  takeLists();
  set("a");
  EXPECT_EQ(takeLists(), GetParam());
  for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
    confirm(Entry, std::nullopt);
  EXPECT_EQ(takeLists(), 0U);
  connect(1, 2);
  renew(1, 2);
  EXPECT_EQ(takeLists(), 1U) << "with the first messages of a connection";
}

// Guards against lists of up to 65 KB to each of 320 entries at each change.
TEST_P(EvacuationLeaseTest, EntriesWithThePreviousListReceiveTheChange) {
  set("a");
  takeLists();
  for (const bool Undo : {false, true}) {
    set("b", Undo);
    EXPECT_EQ(take<link_evacuation_change>(), GetParam());
  }
  connect(1, 1);
  handle(1, link_renew_evacuations{renewal(1, 1), 2, 2, 0});
  EXPECT_EQ(takeLists(), 1U) << "an older list than the previous one";
}

// After a change of leader all entries reconnect together.
TEST_P(EvacuationLeaseTest, EntryThatReconnectsWithTheListReceivesNone) {
  set("a");
  takeLists();
  for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry) {
    connect(Entry);
    EXPECT_EQ(confirm(Entry, 1), 3'500U);
  }
  EXPECT_EQ(takeLists(), 0U);
}

// A lease of 3.5 s ends within the bound of 5 s, so entries that confirm nothing delay no
// acknowledgement. Guards against a lease that is extended beyond the bound afterwards.
TEST_P(EvacuationLeaseTest, LeaseOfAnEntryThatDoesNotConfirmEndsWithinTheBound) {
  set("a");
  EXPECT_TRUE(mayAcknowledge());
  const mono_time Bound = Now + EvacuateWithin;
  while (Now < Bound + Lease) {
    for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
      EXPECT_LE(Now + milliseconds(renew(Entry)), std::max(Bound, Now)) << Entry;
    Now += milliseconds(300);
  }
}

TEST_P(EvacuationLeaseTest, EntriesThatConfirmKeepTheirLease) {
  set("a");
  for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
    EXPECT_EQ(confirm(Entry, 1), 3'500U);
  Now += 2 * EvacuateWithin;
  for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
    EXPECT_EQ(confirm(Entry, 1), 3'500U);
}

// An entry that was cut off with a fresh lease must have lost it when the bound ends.
TEST_P(EvacuationLeaseTest, CutOffEntryDelaysNoAcknowledgementBeyondItsLease) {
  const std::uint64_t CutOff = GetParam();
  renew(CutOff);
  set("a");
  for (std::uint64_t Entry = 1; Entry < CutOff; ++Entry)
    confirm(Entry, 1);
  EXPECT_TRUE(mayAcknowledge());
  EXPECT_EQ(EntryServer.evacuationProgress().Unconfirmed, 1U);
}

// An entry holds the declaration in force, but no list: both trackers must agree to a lease.
TEST_P(EvacuationLeaseTest, RestartedEntryGetsNoLeaseBeforeItConfirms) {
  set("a");
  connect(1, 2);
  EXPECT_EQ(renew(1, 2), 0U);
  EXPECT_EQ(confirm(1, std::nullopt, 0, 2), 0U);
  EXPECT_EQ(confirm(1, 1, 0, 2), 3'500U);
}

// An entry reports a version that this log does not have, perhaps of a log that was lost.
TEST_P(EvacuationLeaseTest, VersionThatDoesNotExistGetsNoLease) {
  set("a");
  EXPECT_EQ(confirm(1, 7), 0U);
}

// After all domains are restored, an entry without a list acts on the right one again.
TEST_P(EvacuationLeaseTest, EntriesOfAnEarlierBuildAreServedOnceAllIsRestored) {
  set("a");
  set("a", true);
  Now += 2 * EvacuateWithin;
  Sent.clear();
  connect(1, 2);
  EXPECT_EQ(renew(1, 2), 3'500U);
  EXPECT_EQ(takeLists(), 0U) << "it could not read one";
  EXPECT_EQ(confirm(2, 2), 3'500U) << "an entry that knows evacuations";
}

// An entry was disconnected during the restoration. It must not keep the domain out for ever.
TEST_P(EvacuationLeaseTest, EntryWithAnOlderListReceivesTheEmptyOne) {
  set("a");
  const std::uint64_t Evacuated = version();
  set("a", true);
  connect(1, 1);
  takeLists();
  handle(1, link_renew_evacuations{renewal(1, 1), Evacuated, Evacuated, 0});
  EXPECT_EQ(takeLists(), 1U);
}

// The predecessor logged the command and died. The repeat reaches the new leader, which does not
// know the leases of the predecessor; all of them end within the bound.
TEST_P(EvacuationLeaseTest, NewLeaderAcknowledgesOnceAllEarlierLeasesEndInTime) {
  set("a");
  EntryServer.stopLeading();
  EXPECT_FALSE(mayAcknowledge()) << "a host that does not lead acknowledges nothing";
  EntryServer.startLeading(Now);
  EXPECT_TRUE(mayAcknowledge());
  connect(1);
  EXPECT_EQ(renew(1), 0U) << "it holds no list yet";
  EXPECT_EQ(confirm(1, 1), 3'500U);
}

// This host lost its lease when the list changed, and holds it again at the next renewal.
TEST_P(EvacuationLeaseTest, ListIsSentAtTheNextRenewalAfterALostLease) {
  HoldsLease = false;
  set("a");
  EXPECT_EQ(takeLists(), 0U);
  HoldsLease = true;
  renew(1);
  EXPECT_EQ(takeLists(), 1U);
}

TEST_P(EvacuationLeaseTest, RequestsLeftAreAddedUpOverConnectedEntries) {
  set("a");
  for (std::uint64_t Entry = 1; Entry <= GetParam(); ++Entry)
    confirm(Entry, 1, 2);
  EXPECT_EQ(EntryServer.evacuationProgress().RequestsLeft, 2 * GetParam());
  EXPECT_EQ(EntryServer.evacuationProgress().Unconfirmed, 0U);
  EntryServer.handle({connection_number(1), connection_closed{}}, Now);
  EXPECT_EQ(EntryServer.evacuationProgress().RequestsLeft, 2 * (GetParam() - 1));
}

// The bound of evacuations is shorter than a lease: the acknowledgement must wait for those that do
// not confirm.
TEST(ShortEvacuationBound, WaitsForALongerLease) {
  in_force_options Options;
  Options.ApplyWithin = milliseconds(1'000);
  in_force_tracker Tracker(Options);
  mono_time Now{std::chrono::seconds(50)};
  Tracker.beginTerm(revision(0), Now);
  Now += 2 * Options.Lease;
  const process_key Entry{host_name("e"), incarnation(1)};
  Tracker.renew(Entry, failure_domain_name("a"), revision(0), Now);
  Tracker.recordChange(revision(1), Now);
  EXPECT_FALSE(Tracker.mayAcknowledge(revision(1), Now));
  EXPECT_TRUE(Tracker.mayAcknowledge(revision(1), Now + milliseconds(4'200)));
  Tracker.renew(Entry, failure_domain_name("a"), revision(1), Now);
  EXPECT_TRUE(Tracker.mayAcknowledge(revision(1), Now)) << "at once if all have confirmed";
}

// Guards against a tracker that counts a lease which the other one did not allow.
TEST(OfferedLease, DelaysNothingUnlessItIsGranted) {
  in_force_options Options;
  in_force_tracker Tracker(Options);
  mono_time Now{std::chrono::seconds(50)};
  Tracker.beginTerm(revision(0), Now);
  Now += 2 * Options.Lease;
  const process_key Entry{host_name("e"), incarnation(1)};
  EXPECT_EQ(Tracker.offer(Entry, failure_domain_name("a"), revision(0), Now), Options.Lease);
  Tracker.recordChange(revision(1), Now);
  EXPECT_EQ(Tracker.inForce(Now), revision(1));
}

} // namespace
} // namespace pollenstall
