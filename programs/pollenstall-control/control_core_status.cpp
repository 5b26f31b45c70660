/** @file control_core_status.cpp The status and the dump of a control host. */
#include "control_core_base.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

namespace json = boost::json;

/// A member is caught up if its log ends at most this many entries before the leader's.
constexpr std::uint64_t CaughtUpWithin = replica_options{}.CaughtUpWithin;

const char *nameOf(replica_role Role) {
  switch (Role) {
  case replica_role::Learner:
    return "learner";
  case replica_role::Follower:
    return "follower";
  case replica_role::PreCandidate:
    return "pre_candidate";
  case replica_role::Candidate:
    return "candidate";
  default:
    return "leader";
  }
}

std::int64_t wholeMillis(mono_duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

json::value orNull(const std::string &Text) {
  return Text.empty() ? json::value() : json::value(Text);
}

json::object memberObject(const log_member &Member, const replica_status &Status,
                          const peer_addresses *Addresses) {
  json::object Object;
  Object["member"] = Member.Key.Member.value();
  Object["disk"] = std::to_string(Member.Key.Disk.value());
  Object["standing"] = Member.VotingStatus == voting_status::Voter ? "voter" : "learner";
  Object["operator_url"] = Addresses != nullptr && !Addresses->Operators.empty()
                               ? json::value("http://" + Addresses->Operators)
                               : json::value();
  // Only a leader knows the progress of the other members.
  Object["caught_up"] = nullptr;
  if (Status.Role == replica_role::Leader && Member.Key == Status.Self)
    Object["caught_up"] = true;
  for (const member_progress &Progress : Status.Progress) {
    if (Progress.Member.Key != Member.Key)
      continue;
    Object["caught_up"] = Progress.Match.value() + CaughtUpWithin >= Status.LastIndex.value();
    Object["match_index"] = Progress.Match.value();
    Object["heard_ms_ago"] = wholeMillis(Progress.SinceLastReply);
  }
  return Object;
}

/// Whether a lost host is not fully replaced; one more loss may stop the log.
bool repairUnfinished(const replica_status &Status, const member_set &Committed,
                      std::size_t Expected, mono_duration Silence) {
  if (voterCount(Committed) < Expected)
    return true;
  for (const member_progress &Progress : Status.Progress)
    if (Progress.Member.VotingStatus != voting_status::Voter || Progress.SinceLastReply > Silence ||
        Progress.Match.value() + CaughtUpWithin < Status.LastIndex.value())
      return true;
  return false;
}

json::object entryObject(const tracked_entry &Entry, mono_time Now) {
  json::object Object;
  Object["host"] = Entry.Process.Host.str();
  Object["incarnation"] = Entry.Process.Incarnation.value();
  Object["failure_domain"] = Entry.Domain.str();
  Object["revision"] = Entry.Confirmed ? json::value(Entry.Confirmed->value()) : json::value();
  Object["lease_ms"] = std::max<std::int64_t>(0, wholeMillis(Entry.LeaseEnd - Now));
  return Object;
}

json::value ordersValue(const order_status_view *OrderStatusView) {
  if (OrderStatusView == nullptr)
    return nullptr;
  const order_status Status = OrderStatusView->read();
  json::object Object;
  Object["engines"] = Status.Engines;
  Object["pending"] = Status.Counts.Pending;
  Object["done"] = Status.Counts.Done;
  Object["refused"] = Status.Counts.Refused;
  Object["unknown"] = Status.Counts.Unknown;
  Object["held"] = Status.SendRefusal ? json::value(toText(*Status.SendRefusal)) : json::value();
  return Object;
}

/// @return Null on a host that does not lead, or whose members are managed by operators.
json::value toleranceValue(const std::optional<loss_tolerance> &Tolerated,
                           const std::optional<tolerance_state> &State) {
  if (!Tolerated || !State)
    return nullptr;
  return json::object{{"hosts", Tolerated->Hosts},
                      {"domains", Tolerated->Domains},
                      {"regions", Tolerated->Regions},
                      {"survived_hosts", State->Survived.Hosts},
                      {"survived_domains", State->Survived.Domains},
                      {"met", State->Met}};
}

} // namespace

std::string control_core::statusText() {
  const mono_time Time = boot_clock::now();
  const replica_status Status = Replica.status(Time);
  const bool Serving = EntryServer.isLeading() && Replica.leaseValid(Time);
  const peer_addresses *Leader = addressesOf(Status.Leader);
  json::object Object;
  Object["host"] = Parts.Settings.Host;
  Object["member"] = Status.Self.Member.value();
  Object["role"] = nameOf(Status.Role);
  Object["serving"] = Serving;
  Object["lease_ms"] =
      Serving ? std::max<std::int64_t>(0, wholeMillis(Replica.leaseEnd() - Time)) : 0;
  Object["isolated"] = !Ready.load();
  Object["leader"] = Status.Leader.Member == member_id()
                         ? json::value()
                         : json::value(Status.Leader.Member.value());
  Object["leader_url"] =
      orNull(Leader != nullptr && !Leader->Operators.empty() ? "http://" + Leader->Operators : "");
  Object["term"] = Status.Term.value();
  Object["commit_index"] = Status.Commit.value();
  Object["applied_index"] = Status.Applied.value();
  Object["snapshot_index"] = Status.SnapshotIndex.value();
  Object["revision"] = State.declared().Revision.value();
  const auto InForce = EntryServer.inForce(Time);
  Object["in_force_revision"] = InForce ? json::value(InForce->value()) : json::value();
  json::array Listed;
  for (const log_member &Member : Members.Members)
    Listed.push_back(memberObject(Member, Status, addressesOf(Member.Key)));
  Object["members"] = std::move(Listed);
  json::array Asking;
  for (const auto &[Member, Applicant] : Applicants)
    Asking.push_back(
        {{"member", Member.value()}, {"disk", std::to_string(Applicant.first.Disk.value())}});
  Object["asking_admission"] = std::move(Asking);
  const bool Unfinished =
      !Applicants.empty() || repairUnfinished(Status, Members, Parts.Settings.Peers.size(),
                                              2 * mono_duration(Parts.Settings.Election));
  Object["repair_unfinished"] = Serving ? json::value(Unfinished) : json::value();
  Object["tolerance"] = toleranceValue(toleratedLosses(Parts.Settings), Tolerance);
  json::array Entries;
  for (const tracked_entry &Entry : EntryServer.entries())
    Entries.push_back(entryObject(Entry, Time));
  Object["entries"] = Serving ? std::move(Entries) : json::array();
  json::array Drains;
  for (const backend_address &Backend : State.drains())
    Drains.push_back(json::value(Backend.str()));
  Object["drains"] = std::move(Drains);
  json::array Evacuations;
  for (const failure_domain_name &Domain : State.evacuations().names())
    Evacuations.push_back(json::value(Domain.str()));
  Object["evacuations"] = std::move(Evacuations);
  Object["orders"] = ordersValue(Parts.Orders.get());
  return json::serialize(Object);
}

std::string control_core::dumpText() {
  json::object Object;
  Object["status"] = json::parse(statusText());
  Object["replica"] = Replica.dump();
  Object["waiting_proposals"] = Proposals.size();
  Object["waiting_reads"] = Reads.size();
  Object["claims"] = State.claims().size();
  Object["history"] = State.history().size();
  const peer_link_counters Peers = Parts.Peers->counters();
  Object["peers"] = {
      {"received", Peers.Received}, {"garbage", Peers.Undecodable}, {"dropped", Peers.Dropped}};
  const entry_listener_counters Listener = Parts.Entries->counters();
  Object["entry_link"] = {{"connections", Listener.Connections},
                          {"garbage", Listener.Undecodable},
                          {"refused", Listener.Refused}};
  return json::serialize(Object);
}

} // namespace pollenstall
