/** @file work_board.cpp What is taken, and the entry's part in its group. */
#include "work_exchange/work_board_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr work_source OwnSource = 0;
constexpr work_source RelayedSource = 1; ///< What a relay tells of all others.
constexpr work_source FirstSender = 2;
/// Entries of a group of which nobody has spoken that are told: its relay may have died.
constexpr std::size_t Candidates = 3;

} // namespace

work_board::work_board(process_key Process, std::string OwnAddress, const work_share_tuning &Values)
    : Self(std::move(Process)), Own(std::move(OwnAddress)), Tuning(Values), Ledger(Values),
      Scopes(FirstSender, report_scope::Own), RelayFeed(Values), GroupFeed(Values),
      PlacementFeed(Values) {}

void work_board::useEntries(const std::vector<work_entry> &Entries, mono_time Now) {
  Group = {Own};
  OtherGroups.clear();
  for (work_group &Planned : planGroups(Entries, Tuning.MostDirect)) {
    if (std::find(Planned.begin(), Planned.end(), Own) != Planned.end())
      Group = std::move(Planned);
    else
      OtherGroups.push_back(std::move(Planned));
  }
  chooseRelay(Now);
}

// ---- Time. ----

void work_board::noteTime(mono_time Now) {
  if (LastSeen != mono_time::min() && Now - LastSeen > Tuning.Suspended)
    forgetAll(Now);
  if (KnowsSince == mono_time::min())
    KnowsSince = Now;
  LastSeen = Now;
}

/// After a suspension what is known is of another time. Nothing is told of it, not that it ended
/// either.
void work_board::forgetAll(mono_time Now) {
  Ledger.clear();
  OwnIncarnations.clear();
  Members.clear();
  Suspects.clear();
  GroupFeed = RelayFeed = PlacementFeed = work_feed(Tuning);
  KnowsSince = RelayHeard = Now;
}

void work_board::forgetSilent(mono_time Now) {
  Ledger.expire(Now);
  // With its sender each part of that source has expired, so that the number is free.
  std::erase_if(Senders, [&](const auto &Item) {
    const bool Silent = Now - Item.second.Heard > Tuning.Silence;
    if (Silent)
      FreeSources.push_back(Item.second.Source);
    return Silent;
  });
  std::erase_if(Members, [&](const auto &Item) {
    return Item.second.ToldAt != mono_time::min() && Now - Item.second.ToldAt > Tuning.Silence;
  });
}

// ---- What comes. ----

void work_board::setOwn(const std::vector<work_load> &Loads, bool Urgent, mono_time Now) {
  noteTime(Now);
  std::vector<incarnation> Incarnations;
  for (const work_load &Load : Loads) {
    Pending = Ledger.put(OwnSource, Load, Now) || Pending;
    Incarnations.push_back(Load.Incarnation);
  }
  for (const incarnation Incarnation : OwnIncarnations)
    if (std::find(Incarnations.begin(), Incarnations.end(), Incarnation) == Incarnations.end()) {
      work_load Nothing;
      Nothing.Incarnation = Incarnation;
      Pending = Ledger.put(OwnSource, Nothing, Now) || Pending;
    }
  OwnIncarnations = std::move(Incarnations);
  if (Urgent)
    noteUrgent(report_scope::Own);
}

work_source work_board::newSource() {
  if (FreeSources.empty()) {
    Scopes.push_back(report_scope::Own);
    return static_cast<work_source>(Scopes.size() - 1);
  }
  const work_source Source = FreeSources.back();
  FreeSources.pop_back();
  return Source;
}

const work_board::sender *work_board::accept(const work_report &Report, const std::string &From,
                                             mono_time Now) {
  if (Report.Sender.Host == Self.Host)
    return nullptr;
  const auto [Known, Fresh] = Senders.try_emplace(Report.Sender.Host);
  sender &Sender = Known->second;
  const auto Last = std::pair(Sender.Incarnation, Sender.Sequence);
  if (!Fresh && std::pair(Report.Sender.Incarnation, Report.Sequence) <= Last)
    return nullptr; // Overtaken on the way.
  if (Fresh)
    Sender.Source = newSource();
  Sender.Address = From;
  Sender.Scope = Report.Scope;
  Sender.Incarnation = Report.Sender.Incarnation;
  Sender.Sequence = Report.Sequence;
  Sender.Heard = Now;
  Scopes[Sender.Source] = Report.Scope;
  return &Sender;
}

void work_board::take(const work_report &Report, const std::string &From, mono_time Now) {
  noteTime(Now);
  const sender *Sender = accept(Report, From, Now);
  if (!Sender)
    return;
  Suspects.erase(From);
  if (From == Relay)
    RelayHeard = Now;
  if (Report.Scope == report_scope::None) {
    Pending = Ledger.drop(Sender->Source, Now) || Pending;
    return updateRelaying(Now);
  }
  const bool Relayed = Report.Scope == report_scope::Others;
  for (const work_load &Load : Report.Loads) {
    const bool Changed = Ledger.put(Relayed ? RelayedSource : Sender->Source, Load, Now);
    Pending = Pending || (Changed && !Relayed && Relaying);
  }
  if (Report.Scope == report_scope::Own && !Relaying)
    updateRelaying(Now);
  if (Report.Urgent && !Relayed)
    noteUrgent(Report.Scope);
}

void work_board::noteUrgent(report_scope Scope) {
  // What another relay tells is passed on to members only, what a member tells to relays as well.
  UrgentOwn = UrgentOwn || Scope == report_scope::Own;
  UrgentMembers = UrgentMembers || Relaying;
}

// ---- The group. ----

const work_board::sender *work_board::senderAt(const std::string &Address) const {
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Address == Address)
      return &Sender;
  return nullptr;
}

void work_board::chooseRelay(mono_time Now) {
  if (!Relay.empty() && Now - RelayHeard > Tuning.RelaySilence)
    Suspects.insert(Relay);
  for (const std::string &Address : Group) {
    if (Address == Own)
      return useRelay({}, Now);
    if (!Suspects.contains(Address))
      return useRelay(Address, Now);
  }
}

void work_board::useRelay(const std::string &Address, mono_time Now) {
  if (Address != Relay) {
    if (!Relay.empty())
      Withdrawals[Relay] = Now + Tuning.WithdrawAfter;
    Relay = Address;
    RelayHeard = Now;
    RelayToldAt = mono_time::min();
    RelayFeed = work_feed(Tuning); // It has been told nothing yet.
    Pending = true;
  }
  updateRelaying(Now);
}

bool work_board::hasMembers() const {
  return std::any_of(Senders.begin(), Senders.end(),
                     [](const auto &Item) { return Item.second.Scope == report_scope::Own; });
}

void work_board::updateRelaying(mono_time Now) {
  const bool Relays = Relay.empty() || hasMembers();
  if (Relaying == Relays)
    return;
  if (!Relays)
    for (const std::string &Address : relaysToTell())
      Withdrawals[Address] = Address == Relay ? Now : Now + Tuning.WithdrawAfter;
  Relaying = Relays;
  PlacementFeed.lookAgain();
  GroupFeed = RelayFeed = work_feed(Tuning); // Whoever is told now has been told nothing yet.
  RelayToldAt = mono_time::min();
  Pending = true;
}

bool work_board::inGroup(work_source Source) const {
  return Source == OwnSource || (Source >= FirstSender && Scopes[Source] == report_scope::Own);
}

std::vector<work_load> work_board::othersChanged(mono_time Now) {
  constexpr std::size_t Unbounded = ~std::size_t{0};
  const auto FromRelay = [](work_source Source) { return Source == RelayedSource; };
  const auto FromAll = [](work_source Source) { return Source >= FirstSender; };
  return Relaying ? PlacementFeed.next(Ledger, Now, FromAll, true, Unbounded)
                  : PlacementFeed.next(Ledger, Now, FromRelay, true, Unbounded);
}

load_exchange_stats work_board::facts() const {
  std::size_t Entries = Group.size();
  std::size_t Largest = Group.size();
  for (const work_group &Other : OtherGroups) {
    Entries += Other.size();
    Largest = std::max(Largest, Other.size());
  }
  const bool Direct = Largest <= 1;
  const auto Receivers = static_cast<std::int64_t>(OtherGroups.size() + Largest - 1);
  const mono_duration Round =
      std::max<mono_duration>(Tuning.Interval, Tuning.IntervalPerReceiver * Receivers);
  constexpr int RelayedWays = 3; // To the relay, to another relay, to its member.
  load_exchange_stats Facts;
  Facts.Entries = Entries;
  Facts.ClaimDelay = Tuning.Way * (Direct ? 2 : RelayedWays);
  // What changes waits for half a round on the average, at the entry and at each of two relays.
  Facts.PropagationDelay =
      Direct ? Round / 2 + Tuning.Way : Tuning.Interval / 2 + Round + Tuning.Way * RelayedWays;
  return Facts;
}

// ---- Rounds. ----

mono_time work_board::nextWake(mono_time Now) const {
  if (UrgentOwn || UrgentMembers || LastRound == mono_time::min())
    return Now;
  return LastRound + (Pending ? RoundGap : Tuning.RelaySigns);
}

std::vector<work_datagram> work_board::due(mono_time Now) {
  noteTime(Now);
  const bool Regular = Now >= nextWake(Now) && !UrgentOwn && !UrgentMembers;
  std::vector<work_datagram> Out;
  if (!Regular && !UrgentOwn && !UrgentMembers)
    return Out;
  if (Regular) {
    forgetSilent(Now);
    chooseRelay(Now);
    LastRound = Now;
    Pending = false;
  }
  withdraw(Now, Out);
  const round_kind Round = Regular ? round_kind::Regular : round_kind::Urgent;
  const bool ToRelays = Regular || UrgentOwn;
  UrgentOwn = UrgentMembers = false;
  if (!Relaying) {
    tellRelay(Now, Round, Out);
  } else {
    if (ToRelays)
      tellRelays(Now, Round, Out);
    tellMembers(Now, Round, Out);
  }
  if (Regular)
    RoundGap = std::max<mono_duration>(Tuning.Interval, Tuning.IntervalPerReceiver *
                                                            static_cast<std::int64_t>(Out.size()));
  return Out;
}

void work_board::withdraw(mono_time Now, std::vector<work_datagram> &Out) {
  if (Relaying) // They are told again.
    return Withdrawals.clear();
  std::erase_if(Withdrawals, [&](const auto &Item) {
    const bool Due = Now >= Item.second;
    // What the relay has been told since is not taken back.
    if (Due && (Item.first != Relay || RelayToldAt == mono_time::min()))
      Out.push_back({Item.first, report(report_scope::None, round_kind::Regular, {})});
    return Due;
  });
}

work_report work_board::report(report_scope Scope, round_kind Round, std::vector<work_load> Loads) {
  return {Self, ++Sequence, Scope, Round == round_kind::Urgent, std::move(Loads)};
}

void work_board::tellRelay(mono_time Now, round_kind Round, std::vector<work_datagram> &Out) {
  const auto OwnWork = [](work_source Source) { return Source == OwnSource; };
  for (work_report &Report :
       reports(RelayFeed, report_scope::Own, Round, Tuning.Refresh, RelayToldAt, Now, OwnWork))
    Out.push_back({Relay, std::move(Report)});
}

/// Entries that act as relays as far as is known, and those that may where none is known.
std::vector<std::string> work_board::relaysToTell() const {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Scope == report_scope::Group)
      Addresses.push_back(Sender.Address);
  const auto Spoke = [&Addresses](const std::string &Address) {
    return std::find(Addresses.begin(), Addresses.end(), Address) != Addresses.end();
  };
  std::vector<std::string> Unheard;
  for (const work_group &Other : OtherGroups)
    if (std::none_of(Other.begin(), Other.end(), Spoke))
      for (std::size_t Place = 0; Place < std::min(Candidates, Other.size()); ++Place)
        Unheard.push_back(Other[Place]);
  if (!Relay.empty() && !Spoke(Relay))
    Unheard.push_back(Relay);
  Addresses.insert(Addresses.end(), Unheard.begin(), Unheard.end());
  return Addresses;
}

void work_board::tellRelays(mono_time Now, round_kind Round, std::vector<work_datagram> &Out) {
  const auto GroupsWork = [this](work_source Source) { return inGroup(Source); };
  const auto Reports =
      reports(GroupFeed, report_scope::Group, Round, Tuning.Refresh, GroupToldAt, Now, GroupsWork);
  if (Reports.empty())
    return;
  for (const std::string &Address : relaysToTell())
    for (const work_report &Report : Reports)
      Out.push_back({Address, Report});
}

/// Those that told their work, and the rest of the group so that they learn who relays. A relay
/// that has just started knows too little to speak to those that another one may relay for.
std::vector<std::string> work_board::membersToTell(mono_time Now) const {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Sender] : Senders)
    if (Sender.Scope == report_scope::Own)
      Addresses.push_back(Sender.Address);
  if (!Relay.empty() || Now - KnowsSince < Tuning.Refresh)
    return Addresses;
  for (const std::string &Address : Group)
    if (Address != Own && std::find(Addresses.begin(), Addresses.end(), Address) == Addresses.end())
      Addresses.push_back(Address);
  return Addresses;
}

void work_board::tellMembers(mono_time Now, round_kind Round, std::vector<work_datagram> &Out) {
  for (const std::string &Address : membersToTell(Now)) {
    const sender *Sender = senderAt(Address);
    const work_source Told = Sender ? Sender->Source : RelayedSource;
    const auto OthersWork = [Told](work_source Source) {
      return Source != RelayedSource && Source != Told;
    };
    member &Member = Members.try_emplace(Address, Tuning).first->second;
    for (work_report &Report : reports(Member.Feed, report_scope::Others, Round, Tuning.RelaySigns,
                                       Member.ToldAt, Now, OthersWork))
      Out.push_back({Address, std::move(Report)});
  }
}

} // namespace pollenstall
