/** @file work_view_waiting.cpp Reports of waiting requests, which travel as those of loads do. */
#include "work_exchange/work_view_base.h"

namespace pollenstall {

namespace {

constexpr work_source_id OwnSource = 0;
constexpr work_source_id RelaySource = 1;
constexpr work_source_id FirstSender = 2;

} // namespace

void work_view::setOwnWaiting(const std::vector<waiting_load> &Loads, mono_time Now) {
  detectSuspension(Now);
  HasChanges = Waiting.update(OwnSource, Loads, Now) || HasChanges;
}

void work_view::receiveWaiting(const work_report &Report, const sender &Sender, mono_time Now) {
  if (!Report.Waiting)
    return;
  const bool SentByRelay = Report.Scope == report_scope::Others;
  const bool Changed =
      Waiting.update(SentByRelay ? RelaySource : Sender.Source, *Report.Waiting, Now);
  HasChanges = HasChanges || (Changed && !SentByRelay && ActsAsRelay);
}

std::optional<std::vector<waiting_load>> work_view::changedPeerWaiting(mono_time Now) {
  std::vector<waiting_load> Loads = Waiting.sum(Now, [this](work_source_id Source) {
    return ActsAsRelay ? Source >= FirstSender : Source == RelaySource;
  });
  if (!PlacementWaiting.recordIfDue(Loads, Now))
    return std::nullopt;
  return Loads;
}

/// Not part of the round's number of datagrams: reports of loads are not delayed by these.
void work_view::reportWaiting(mono_time Now, std::vector<work_datagram> &Datagrams) {
  const auto Send = [&](const std::string &To, report_scope Scope,
                        std::vector<waiting_load> Loads) {
    if (Loads.size() > MaxWaitingServices)
      Loads.resize(MaxWaitingServices);
    work_report Report = makeReport(Scope, round_kind::Regular, {});
    Report.Waiting = std::move(Loads);
    Datagrams.push_back({To, std::move(Report)});
  };
  if (!ActsAsRelay) {
    const auto Own = Waiting.sum(Now, [](work_source_id Source) { return Source == OwnSource; });
    if (RelayWaiting.recordIfDue(Own, Now))
      Send(RelayAddress, report_scope::Own, Own);
    return;
  }
  const auto GroupSum = Waiting.sum(Now, [this](work_source_id Source) { return inGroup(Source); });
  if (GroupWaiting.recordIfDue(GroupSum, Now))
    for (const std::string &Address : relayReceivers())
      Send(Address, report_scope::Group, GroupSum);
  for (const std::string &Address : memberReceivers(Now)) {
    const sender *Sender = senderAt(Address);
    const work_source_id ReceiverSource = Sender ? Sender->Source : RelaySource;
    const auto Others = Waiting.sum(Now, [ReceiverSource](work_source_id Source) {
      return Source != RelaySource && Source != ReceiverSource;
    });
    member &Member = Members.try_emplace(Address, Tuning).first->second;
    if (Member.Waiting.recordIfDue(Others, Now))
      Send(Address, report_scope::Others, Others);
  }
}

} // namespace pollenstall
