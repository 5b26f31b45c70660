/** @file control_core_notices.cpp Spreads the notices of backend servers over the control hosts. */
#include "control_core_base.h"

namespace pollenstall {

namespace {

/// A host that sent its last batch longer ago gets no further backend servers assigned.
constexpr std::chrono::seconds MaxRelaySilence{1};

} // namespace

void control_core::handlePeer(const notice_batch &Batch) {
  const mono_time Time = boot_clock::now();
  if (!EntryServer.isLeading() || !Replica.leaseValid(Time))
    return;
  RelaysSeenAt[Batch.From] = Time;
  std::vector<backend_listing> Changes;
  for (const relayed_notice &Notice : Batch.Notices)
    for (backend_listing &Change : Directory.handleRelayed(Notice, Time))
      Changes.push_back(std::move(Change));
  if (!Changes.empty()) {
    EntryServer.backendsChanged(Changes);
    recordBackends(std::move(Changes), nullptr);
  }
  Parts.Peers->sendReceipt(Batch.From, {self(), Batch.Number});
}

void control_core::handlePeer(const notice_receipt &Receipt) {
  if (Receipt.From == RelayLeader.Member)
    NoticeRelay.handleReceipt(Receipt.Number);
}

void control_core::relayNotices() {
  const replica_status Status = Replica.status(Now);
  if (Status.Role == replica_role::Leader || Status.Leader.Member == member_id())
    return;
  if (!(Status.Leader == RelayLeader)) {
    RelayLeader = Status.Leader;
    NoticeRelay.leaderChanged();
  }
  if (auto Batch = NoticeRelay.takeBatch(Now))
    Parts.Peers->sendNotices(RelayLeader.Member,
                             {self(), Batch->Number, std::move(Batch->Notices)});
}

/// Rendezvous hashing: when a host comes or goes, only its backend servers move.
std::string control_core::noticeUrl(const instance_name &Instance) const {
  const peer_addresses *Chosen = nullptr;
  std::uint64_t HighestWeight = 0;
  for (const auto &[Member, SeenAt] : RelaysSeenAt) {
    const auto Found = Addresses.find(Member);
    if (Now - SeenAt > MaxRelaySilence || Found == Addresses.end() ||
        Found->second.Operators.empty())
      continue;
    const std::uint64_t Weight = combineHashes(stableHash(Instance.str()), Member.value());
    if (Chosen != nullptr && Weight <= HighestWeight)
      continue;
    Chosen = &Found->second;
    HighestWeight = Weight;
  }
  return Chosen == nullptr ? std::string() : "http://" + Chosen->Operators;
}

} // namespace pollenstall
