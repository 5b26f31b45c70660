/** @file work_view.cpp Received reports, the entry's role in its group, and rounds of reports. */
#include "work_exchange/work_view_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr work_source_id OwnSource = 0;
constexpr work_source_id RelaySource = 1; ///< A relay's sum of the work of all other entries.
constexpr work_source_id FirstSender = 2;
/// While no relay of another group is known, reports go to this many of the group's first entries:
/// the first one may have failed.
constexpr std::size_t RelayCandidates = 3;

} // namespace

work_view::work_view(process_key Process, std::string ReportAddress,
                     const work_share_tuning &Values)
    : Self(std::move(Process)), OwnAddress(std::move(ReportAddress)), Tuning(Values),
      Tracker(Values), ScopeBySource(FirstSender, report_scope::Own), RelayFeed(Values),
      GroupFeed(Values), PlacementFeed(Values), Waiting(Values), RelayWaiting(Values),
      GroupWaiting(Values), PlacementWaiting(Values) {}

void work_view::setEntries(const std::vector<work_entry> &Entries, mono_time Now) {
  Group = {OwnAddress};
  OtherGroups.clear();
  for (work_group &Planned : planGroups(Entries, Tuning.MaxDirectEntries)) {
    if (std::find(Planned.begin(), Planned.end(), OwnAddress) != Planned.end())
      Group = std::move(Planned);
    else
      OtherGroups.push_back(std::move(Planned));
  }
  chooseRelay(Now);
}

// ---- Expiry and suspension. ----

void work_view::detectSuspension(mono_time Now) {
  if (LastActiveAt != mono_time::min() && Now - LastActiveAt > Tuning.SuspensionThreshold)
    resetState(Now);
  if (ActiveSince == mono_time::min())
    ActiveSince = Now;
  LastActiveAt = Now;
}

/// Discards the state after a suspension, since it is stale. Sends no report about it: empty loads
/// would tell the other entries that the work ended.
void work_view::resetState(mono_time Now) {
  Tracker.clear();
  OwnIncarnations.clear();
  Members.clear();
  FailedRelays.clear();
  GroupFeed = RelayFeed = PlacementFeed = work_feed(Tuning);
  Waiting.clear();
  RelayWaiting = GroupWaiting = PlacementWaiting = waiting_feed(Tuning);
  ActiveSince = RelayReceivedAt = Now;
}

void work_view::expireStale(mono_time Now) {
  Tracker.expire(Now);
  // All loads of an expired sender have expired too, so its source id can be reused.
  std::erase_if(Senders, [&](const auto &Item) {
    const bool IsStale = Now - Item.second.ReceivedAt > Tuning.ReportLifetime;
    if (IsStale) {
      FreeSources.push_back(Item.second.Source);
      Waiting.removeSource(Item.second.Source);
    }
    return IsStale;
  });
  std::erase_if(Members, [&](const auto &Item) {
    return Item.second.LastReportAt != mono_time::min() &&
           Now - Item.second.LastReportAt > Tuning.ReportLifetime;
  });
}

// ---- Received loads. ----

void work_view::setOwnLoads(const std::vector<work_load> &Loads, bool Urgent, mono_time Now) {
  detectSuspension(Now);
  std::vector<incarnation> Incarnations;
  for (const work_load &Load : Loads) {
    HasChanges = Tracker.update(OwnSource, Load, Now) || HasChanges;
    Incarnations.push_back(Load.Incarnation);
  }
  for (const incarnation Incarnation : OwnIncarnations)
    if (std::find(Incarnations.begin(), Incarnations.end(), Incarnation) == Incarnations.end()) {
      work_load EmptyLoad;
      EmptyLoad.Incarnation = Incarnation;
      HasChanges = Tracker.update(OwnSource, EmptyLoad, Now) || HasChanges;
    }
  OwnIncarnations = std::move(Incarnations);
  if (Urgent)
    markUrgent(report_scope::Own);
}

work_source_id work_view::allocateSource() {
  if (FreeSources.empty()) {
    ScopeBySource.push_back(report_scope::Own);
    return static_cast<work_source_id>(ScopeBySource.size() - 1);
  }
  const work_source_id Source = FreeSources.back();
  FreeSources.pop_back();
  return Source;
}

const work_view::sender *work_view::accept(const work_report &Report, const std::string &From,
                                           mono_time Now) {
  if (Report.Sender.Host == Self.Host)
    return nullptr;
  const auto [Position, IsNew] = Senders.try_emplace(Report.Sender.Host);
  sender &Sender = Position->second;
  const auto Last = std::pair(Sender.Incarnation, Sender.Sequence);
  if (!IsNew && std::pair(Report.Sender.Incarnation, Report.Sequence) <= Last)
    return nullptr; // A later report overtook this one.
  if (IsNew)
    Sender.Source = allocateSource();
  Sender.Address = From;
  Sender.Scope = Report.Scope;
  Sender.Incarnation = Report.Sender.Incarnation;
  Sender.Sequence = Report.Sequence;
  Sender.ReceivedAt = Now;
  ScopeBySource[Sender.Source] = Report.Scope;
  return &Sender;
}

void work_view::receive(const work_report &Report, const std::string &From, mono_time Now) {
  detectSuspension(Now);
  const sender *Sender = accept(Report, From, Now);
  if (!Sender)
    return;
  FailedRelays.erase(From);
  if (From == RelayAddress)
    RelayReceivedAt = Now;
  if (Report.Scope == report_scope::Withdrawn) {
    Waiting.removeSource(Sender->Source);
    HasChanges = Tracker.removeSource(Sender->Source, Now) || HasChanges;
    return updateRole(Now);
  }
  receiveWaiting(Report, *Sender, Now);
  const bool SentByRelay = Report.Scope == report_scope::Others;
  for (const work_load &Load : Report.Loads) {
    const bool Changed = Tracker.update(SentByRelay ? RelaySource : Sender->Source, Load, Now);
    HasChanges = HasChanges || (Changed && !SentByRelay && ActsAsRelay);
  }
  if (Report.Scope == report_scope::Own && !ActsAsRelay)
    updateRole(Now);
  if (Report.Urgent && !SentByRelay)
    markUrgent(Report.Scope);
}

void work_view::markUrgent(report_scope Scope) {
  // Urgent work of this entry or of a member goes to the relays and to members, that of another
  // relay's group to members only.
  UrgentToRelays = UrgentToRelays || Scope == report_scope::Own;
  UrgentToMembers = UrgentToMembers || ActsAsRelay;
}

// ---- Group and relay. ----

const work_view::sender *work_view::senderAt(const std::string &Address) const {
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Address == Address)
      return &Sender;
  return nullptr;
}

void work_view::chooseRelay(mono_time Now) {
  if (!RelayAddress.empty() && Now - RelayReceivedAt > Tuning.RelayTimeout)
    FailedRelays.insert(RelayAddress);
  for (const std::string &Address : Group) {
    if (Address == OwnAddress)
      return switchRelay({}, Now);
    if (!FailedRelays.contains(Address))
      return switchRelay(Address, Now);
  }
}

void work_view::switchRelay(const std::string &Address, mono_time Now) {
  if (Address != RelayAddress) {
    if (!RelayAddress.empty())
      Withdrawals[RelayAddress] = Now + Tuning.WithdrawDelay;
    RelayAddress = Address;
    RelayReceivedAt = Now;
    LastRelayReportAt = mono_time::min();
    RelayFeed = work_feed(Tuning); // The new relay has received nothing yet.
    RelayWaiting = waiting_feed(Tuning);
    HasChanges = true;
  }
  updateRole(Now);
}

bool work_view::hasMembers() const {
  return std::any_of(Senders.begin(), Senders.end(),
                     [](const auto &Item) { return Item.second.Scope == report_scope::Own; });
}

void work_view::updateRole(mono_time Now) {
  const bool ShouldRelay = RelayAddress.empty() || hasMembers();
  if (ActsAsRelay == ShouldRelay)
    return;
  if (!ShouldRelay)
    for (const std::string &Address : relayReceivers())
      Withdrawals[Address] = Address == RelayAddress ? Now : Now + Tuning.WithdrawDelay;
  ActsAsRelay = ShouldRelay;
  PlacementFeed.recheckAll();
  GroupFeed = RelayFeed = work_feed(Tuning); // The new receivers have received nothing yet.
  GroupWaiting = RelayWaiting = waiting_feed(Tuning);
  LastRelayReportAt = mono_time::min();
  HasChanges = true;
}

bool work_view::inGroup(work_source_id Source) const {
  return Source == OwnSource ||
         (Source >= FirstSender && ScopeBySource[Source] == report_scope::Own);
}

std::vector<work_load> work_view::changedPeerLoads(mono_time Now) {
  constexpr std::size_t Unbounded = ~std::size_t{0};
  const auto FromRelay = [](work_source_id Source) { return Source == RelaySource; };
  const auto FromAll = [](work_source_id Source) { return Source >= FirstSender; };
  return ActsAsRelay ? PlacementFeed.nextLoads(Tracker, Now, FromAll, true, Unbounded)
                     : PlacementFeed.nextLoads(Tracker, Now, FromRelay, true, Unbounded);
}

load_exchange_properties work_view::exchangeStats() const {
  std::size_t Entries = Group.size();
  std::size_t Largest = Group.size();
  for (const work_group &Other : OtherGroups) {
    Entries += Other.size();
    Largest = std::max(Largest, Other.size());
  }
  const bool Direct = Largest <= 1;
  const auto Receivers = static_cast<std::int64_t>(OtherGroups.size() + Largest - 1);
  const mono_duration RoundTime =
      std::max<mono_duration>(Tuning.MinRoundInterval, Tuning.RoundIntervalPerDatagram * Receivers);
  constexpr int RelayedHops = 3; // To the relay, to another relay, to that relay's member.
  load_exchange_properties Stats;
  Stats.Entries = Entries;
  // The delay of an urgent report to the farthest entry; a direct one has a single hop, which is
  // doubled.
  Stats.ClaimDelay = Tuning.HopDelay * (Direct ? 2 : RelayedHops);
  // A change waits for half a round on average, at the entry and at each of two relays.
  Stats.PropagationDelay =
      Direct ? RoundTime / 2 + Tuning.HopDelay
             : Tuning.MinRoundInterval / 2 + RoundTime + Tuning.HopDelay * RelayedHops;
  return Stats;
}

// ---- Rounds. ----

mono_time work_view::nextWake(mono_time Now) const {
  if (UrgentToRelays || UrgentToMembers || LastRoundAt == mono_time::min())
    return Now;
  return LastRoundAt + (HasChanges ? RoundInterval : Tuning.RelayHeartbeat);
}

std::vector<work_datagram> work_view::dueDatagrams(mono_time Now) {
  detectSuspension(Now);
  const bool Regular = Now >= nextWake(Now) && !UrgentToRelays && !UrgentToMembers;
  std::vector<work_datagram> Datagrams;
  if (!Regular && !UrgentToRelays && !UrgentToMembers)
    return Datagrams;
  if (Regular) {
    expireStale(Now);
    chooseRelay(Now);
    LastRoundAt = Now;
    HasChanges = false;
  }
  sendWithdrawals(Now, Datagrams);
  const round_kind Round = Regular ? round_kind::Regular : round_kind::Urgent;
  const bool ToRelays = Regular || UrgentToRelays;
  UrgentToRelays = UrgentToMembers = false;
  if (!ActsAsRelay) {
    reportToRelay(Now, Round, Datagrams);
  } else {
    if (ToRelays)
      reportToRelays(Now, Round, Datagrams);
    reportToMembers(Now, Round, Datagrams);
  }
  if (Regular)
    RoundInterval = std::max<mono_duration>(Tuning.MinRoundInterval,
                                            Tuning.RoundIntervalPerDatagram *
                                                static_cast<std::int64_t>(Datagrams.size()));
  if (Regular)
    reportWaiting(Now, Datagrams);
  return Datagrams;
}

void work_view::sendWithdrawals(mono_time Now, std::vector<work_datagram> &Datagrams) {
  if (ActsAsRelay) // The receivers get reports again.
    return Withdrawals.clear();
  std::erase_if(Withdrawals, [&](const auto &Item) {
    const bool IsDue = Now >= Item.second;
    // If the receiver is the relay again and was sent new reports, these must not be revoked.
    if (IsDue && (Item.first != RelayAddress || LastRelayReportAt == mono_time::min()))
      Datagrams.push_back(
          {Item.first, makeReport(report_scope::Withdrawn, round_kind::Regular, {})});
    return IsDue;
  });
}

work_report work_view::makeReport(report_scope Scope, round_kind Round,
                                  std::vector<work_load> Loads) {
  return {Self, ++Sequence, Scope, Round == round_kind::Urgent, std::move(Loads)};
}

void work_view::reportToRelay(mono_time Now, round_kind Round,
                              std::vector<work_datagram> &Datagrams) {
  const auto OwnWork = [](work_source_id Source) { return Source == OwnSource; };
  for (work_report &Report : makeReports(RelayFeed, report_scope::Own, Round,
                                         Tuning.RefreshInterval, LastRelayReportAt, Now, OwnWork))
    Datagrams.push_back({RelayAddress, std::move(Report)});
}

/// Returns the entries known to act as relays, and candidates of the groups without a known relay.
std::vector<std::string> work_view::relayReceivers() const {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Scope == report_scope::Group)
      Addresses.push_back(Sender.Address);
  const auto HasReported = [&Addresses](const std::string &Address) {
    return std::find(Addresses.begin(), Addresses.end(), Address) != Addresses.end();
  };
  std::vector<std::string> UnconfirmedRelays;
  for (const work_group &Other : OtherGroups)
    if (std::none_of(Other.begin(), Other.end(), HasReported))
      for (std::size_t Index = 0; Index < std::min(RelayCandidates, Other.size()); ++Index)
        UnconfirmedRelays.push_back(Other[Index]);
  if (!RelayAddress.empty() && !HasReported(RelayAddress))
    UnconfirmedRelays.push_back(RelayAddress);
  Addresses.insert(Addresses.end(), UnconfirmedRelays.begin(), UnconfirmedRelays.end());
  return Addresses;
}

void work_view::reportToRelays(mono_time Now, round_kind Round,
                               std::vector<work_datagram> &Datagrams) {
  const auto GroupsWork = [this](work_source_id Source) { return inGroup(Source); };
  const auto Reports = makeReports(GroupFeed, report_scope::Group, Round, Tuning.RefreshInterval,
                                   LastGroupReportAt, Now, GroupsWork);
  if (Reports.empty())
    return;
  for (const std::string &Address : relayReceivers())
    for (const work_report &Report : Reports)
      Datagrams.push_back({Address, Report});
}

/// Returns the entries that reported their work to this one, and, if this entry is the group's
/// relay, the rest of the group, so that they learn who the relay is. The rest is left out until
/// RefreshInterval after the start: until then this entry knows too little of the others' work, and
/// another entry may be relaying for them.
std::vector<std::string> work_view::memberReceivers(mono_time Now) const {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Scope == report_scope::Own)
      Addresses.push_back(Sender.Address);
  if (!RelayAddress.empty() || Now - ActiveSince < Tuning.RefreshInterval)
    return Addresses;
  for (const std::string &Address : Group)
    if (Address != OwnAddress &&
        std::find(Addresses.begin(), Addresses.end(), Address) == Addresses.end())
      Addresses.push_back(Address);
  return Addresses;
}

void work_view::reportToMembers(mono_time Now, round_kind Round,
                                std::vector<work_datagram> &Datagrams) {
  for (const std::string &Address : memberReceivers(Now)) {
    const sender *Sender = senderAt(Address);
    const work_source_id ReceiverSource = Sender ? Sender->Source : RelaySource;
    const auto OthersWork = [ReceiverSource](work_source_id Source) {
      return Source != RelaySource && Source != ReceiverSource;
    };
    member &Member = Members.try_emplace(Address, Tuning).first->second;
    for (work_report &Report :
         makeReports(Member.Feed, report_scope::Others, Round, Tuning.RelayHeartbeat,
                     Member.LastReportAt, Now, OthersWork))
      Datagrams.push_back({Address, std::move(Report)});
  }
}

} // namespace pollenstall
