/** @file control_cluster.cpp Starts control host processes and calls their HTTP interface. */
#include "control/control_cluster.h"

#include "operators/operators.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

namespace pollenstall {

namespace {

const std::string Fleet = "test-fleet";
const std::string OperatorKey = "operators-key-of-the-tests";
const http_headers Authorised{{"Authorization", "Bearer " + OperatorKey}};
const std::string QuickElections = "[log]\nheartbeat_ms = 40\nelection_ms = 400\n";

std::string tomlText(const std::string &Text) { return "\"" + Text + "\""; }

} // namespace

boost::json::object objectIn(const http_answer &Answer) {
  const boost::json::value Value = Answer.json();
  return Value.is_object() ? Value.as_object() : boost::json::object();
}

std::string declarationText(int Variant) {
  return "[limits]\nmax_queued = " + std::to_string(Variant + 1) + "\n";
}

std::string changeBody(const std::string &Id, std::uint64_t Base, const std::string &Text) {
  return boost::json::serialize(
      boost::json::object{{"change_id", Id}, {"base_revision", Base}, {"text", Text}});
}

const std::string &control_cluster::operatorKey() { return OperatorKey; }
const std::string &control_cluster::fleet() { return Fleet; }

control_cluster::control_cluster(std::size_t Count, std::string MoreSettings,
                                 std::string MoreListen)
    : More(std::move(MoreSettings)), Listen(std::move(MoreListen)) {
  startAll(Count);
}

control_cluster::control_cluster(self_management NewMembers) : SelfManaged(std::move(NewMembers)) {
  startAll(SelfManaged->Domains.size());
}

void control_cluster::startAll(std::size_t Count) {
  const auto Addresses = freeTcpAddresses(3 * Count);
  for (std::size_t Host = 0; Host < Count; ++Host)
    Hosts.push_back(
        {Addresses[3 * Host], Addresses[3 * Host + 1], Addresses[3 * Host + 2], nullptr});
  KeyHashFile = Folder.write("key", keyHash(OperatorKey) + "\n");
  for (std::size_t Host = 0; Host < Count; ++Host)
    start(Host);
}

std::string control_cluster::memberSettings(std::size_t Host) const {
  constexpr std::size_t MaxSeeds = 3;
  std::string Peers;
  if (SelfManaged) {
    for (std::size_t Seed = 0; Seed < std::min(Hosts.size(), MaxSeeds); ++Seed)
      Peers += (Seed == 0 ? "" : ", ") + tomlText(Hosts[Seed].Peers);
    return "member_id = 0\nseeds = [" + Peers + "]\nself_managed = true\nbootstrap = true\n" +
           SelfManaged->Tolerance;
  }
  for (std::size_t Peer = 0; Peer < Hosts.size(); ++Peer)
    Peers += (Peer == 0 ? "" : ", ") + tomlText(std::to_string(Peer + 1) + "=" + Hosts[Peer].Peers);
  return "member_id = " + std::to_string(Host + 1) + "\npeers = [" + Peers +
         "]\nbootstrap = " + (Host == 0 ? "true" : "false");
}

std::string control_cluster::settings(std::size_t Host) const {
  const std::string HostNumber = std::to_string(Host + 1);
  const std::string Domain = SelfManaged ? SelfManaged->Domains[Host] : "domain-" + HostNumber;
  return "fleet = " + tomlText(Fleet) + "\n" + memberSettings(Host) +
         "\n[host]\nname = " + tomlText("control-" + HostNumber) +
         "\nfailure_domain = " + tomlText(Domain) + "\n[data]\nfolder = " + tomlText(folder(Host)) +
         "\n[listen]\npeers = " + tomlText(Hosts[Host].Peers) +
         "\nentries = " + tomlText(Hosts[Host].Entries) +
         "\noperators = " + tomlText(Hosts[Host].Operators) +
         "\naddress_file = " + tomlText(Folder.path("addresses" + HostNumber)) + "\n" + Listen +
         "[operators]\nkey_hash_file = " + tomlText(KeyHashFile) + "\n" +
         (More.empty() ? QuickElections : More);
}

void control_cluster::start(std::size_t Host) {
  Hosts[Host].Process = child_process::withSettings("pollenstall-control", settings(Host));
}

void control_cluster::kill(std::size_t Host) {
  Hosts[Host].Process->kill();
  Hosts[Host].Process->wait();
  Hosts[Host].Process.reset();
}

int control_cluster::terminate(std::size_t Host) {
  Hosts[Host].Process->terminate();
  const std::optional<int> Code = Hosts[Host].Process->wait();
  Hosts[Host].Process.reset();
  return Code.value_or(-1);
}

void control_cluster::freeze(std::size_t Host) { Hosts[Host].Process->stop(); }
void control_cluster::thaw(std::size_t Host) { Hosts[Host].Process->resume(); }
void control_cluster::loseDisk(std::size_t Host) { std::filesystem::remove_all(folder(Host)); }

std::string control_cluster::folder(std::size_t Host) const {
  return Folder.path("data" + std::to_string(Host + 1));
}

std::string control_cluster::log(std::size_t Host) const {
  std::string Text;
  if (runs(Host))
    for (const std::string &Line : Hosts[Host].Process->errorLines())
      Text += Line + "\n";
  return Text;
}

http_answer control_cluster::get(std::size_t Host, const std::string &Path) const {
  return http_client(Hosts[Host].Operators).get(Path, Authorised);
}

http_answer control_cluster::post(std::size_t Host, const std::string &Path,
                                  const std::string &Body) const {
  return http_client(Hosts[Host].Operators).post(Path, Body, Authorised);
}

boost::json::object control_cluster::status(std::size_t Host) const {
  constexpr std::chrono::milliseconds Limit{500};
  return objectIn(http_client(Hosts[Host].Operators, Limit).get("/v1/status", Authorised));
}

bool control_cluster::asksAdmission(std::size_t Leader, std::uint64_t Member) const {
  const auto Status = status(Leader);
  if (!Status.contains("asking_admission"))
    return false;
  for (const auto &Applicant : Status.at("asking_admission").as_array())
    if (Applicant.at("member").to_number<std::uint64_t>() == Member)
      return true;
  return false;
}

bool control_cluster::repairIsFinished(std::size_t Leader) const {
  const auto Status = status(Leader);
  return Status.contains("repair_unfinished") && Status.at("repair_unfinished").is_bool() &&
         !Status.at("repair_unfinished").as_bool();
}

std::size_t control_cluster::waitForLeader(std::optional<std::size_t> Except) {
  std::size_t Leader = 0;
  const bool Found = eventually([&] {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
      if (!runs(Host) || Host == Except)
        continue;
      const auto Status = status(Host);
      if (Status.contains("serving") && Status.at("serving").as_bool()) {
        Leader = Host;
        return true;
      }
    }
    return false;
  });
  EXPECT_TRUE(Found) << "no leader; log of host 1:\n" << log(0);
  return Leader;
}

http_answer control_cluster::change(const std::string &Id, std::uint64_t Base,
                                    const std::string &Text) {
  constexpr int Misdirected = 421;
  constexpr int Unavailable = 503;
  http_answer Answer;
  std::size_t Host = LastAnswered;
  eventually([&] {
    if (runs(Host))
      Answer = post(Host, "/v1/changes", changeBody(Id, Base, Text));
    const bool Final =
        Answer.Status != 0 && Answer.Status != Misdirected && Answer.Status != Unavailable;
    if (Final)
      LastAnswered = Host;
    Host = (Host + 1) % Hosts.size();
    return Final;
  });
  return Answer;
}

std::vector<std::string> control_cluster::entryAddresses() const {
  std::vector<std::string> Addresses;
  for (const host &Host : Hosts)
    Addresses.push_back(Host.Entries);
  return Addresses;
}

const std::string &control_cluster::peerAddress(std::size_t Host) const {
  return Hosts[Host].Peers;
}

const std::string &control_cluster::operatorAddress(std::size_t Host) const {
  return Hosts[Host].Operators;
}

test_entry::test_entry(const std::vector<std::string> &Controls, const std::string &Host,
                       std::uint64_t Incarnation)
    : Link(
          control_link_builder(Controls, Fleet)
              .process({host_name(Host), incarnation(Incarnation)}, failure_domain_name("domain-1"))
              .renewInterval(std::chrono::milliseconds(100))
              .answerTimeout(std::chrono::milliseconds(500))
              .start()) {}

bool test_entry::pumpUntil(const std::function<bool()> &Condition,
                           std::chrono::milliseconds Limit) {
  return eventually(
      [&] {
        pump();
        return Condition();
      },
      Limit);
}

void test_entry::pump() {
  Link->drainEvents([this](control_link_event &&Event) {
    std::visit([this](const auto &Alternative) { take(Alternative); }, Event);
  });
}

void test_entry::take(const declaration_received &Event) {
  ++ReceivedDeclarations;
  const declaration_action Verdict = Freshness.actionFor(Event.Revision);
  if (Verdict == declaration_action::Stale) {
    ++ReceivedStale;
    return;
  }
  Freshness.markInUse(Event.Revision);
  Text = Event.Text;
  if (ConfirmsRevisions)
    Link->request(confirm_revision{Event.Revision});
}

void test_entry::take(const lease_extended &Event) {
  Freshness.extend(Event.Revision, Event.Until);
}
void test_entry::take(const claim_answered &Event) { Verdicts[Event.Request] = Event.Status; }
void test_entry::take(const drains_changed &Event) { Drains = Event.Backends; }
void test_entry::take(const backends_listed & /*Event*/) {}
void test_entry::take(const entries_listed & /*Event*/) {}
void test_entry::take(const control_connection_lost & /*Event*/) {}
void test_entry::take(const declaration_announced & /*Event*/) {}
void test_entry::take(const suspects_listed &Event) { Suspects = Event.Suspects; }
void test_entry::take(const evacuations_changed &Event) {
  Evacuations = Event;
  if (ConfirmsEvacuations)
    Link->request(confirm_evacuations{Event.Version, RequestsLeft});
}

claim_status test_entry::claim(std::uint64_t Request, const std::string &Key,
                               std::chrono::milliseconds Limit) {
  const request_number ClaimRequest(Request);
  Verdicts.erase(ClaimRequest);
  Link->request(
      request_claim{{ClaimRequest, Key, boot_clock::now() + Limit}, std::chrono::hours(1)});
  EXPECT_TRUE(pumpUntil([&] { return Verdicts.count(ClaimRequest) != 0; }, 2 * Limit));
  return Verdicts[ClaimRequest];
}

void test_entry::settle(std::uint64_t Request, const std::string &Key, claim_state FinalState) {
  Link->request(
      report_claim_outcome{{request_number(Request), Key, FinalState}, std::chrono::hours(1)});
}

} // namespace pollenstall
