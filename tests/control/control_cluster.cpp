/** @file control_cluster.cpp Starts control hosts and calls them. */
#include "control/control_cluster.h"

#include "operators/operators.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace pollenstall {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

const std::string Fleet = "test-fleet";
const std::string OperatorKey = "operators-key-of-the-tests";

/// One call over one connection; every step counts against the same time limit.
class http_call {
public:
  http_call(const std::string &Address, std::chrono::milliseconds Limit) : Stream(Io) {
    const std::size_t Colon = Address.rfind(':');
    const tcp::endpoint To(boost::asio::ip::make_address(Address.substr(0, Colon)),
                           static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
    Stream.expires_after(Limit);
    Stream.async_connect(To, [this](beast::error_code Error) { Failure = Error; });
    Io.run();
  }

  http_answer send(const std::string &Method, const std::string &Path, const std::string &Body) {
    if (Failure)
      return {};
    http::request<http::string_body> Request(http::string_to_verb(Method), Path, 11, Body);
    Request.set(http::field::host, "control");
    Request.set(http::field::authorization, "Bearer " + OperatorKey);
    Request.prepare_payload();
    http::async_write(Stream, Request,
                      [this](beast::error_code Error, std::size_t) { Failure = Error; });
    finishStep();
    if (Failure)
      return {};
    beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    http::async_read(Stream, Buffer, Response,
                     [this](beast::error_code Error, std::size_t) { Failure = Error; });
    finishStep();
    if (Failure)
      return {};
    return {Response.result_int(), Response.body()};
  }

private:
  void finishStep() {
    Io.restart();
    Io.run();
  }

  boost::asio::io_context Io;
  beast::tcp_stream Stream;
  beast::error_code Failure;
};

std::string tomlText(const std::string &Text) { return "\"" + Text + "\""; }

} // namespace

boost::json::object http_answer::json() const {
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Text, Error);
  return Error || !Value.is_object() ? boost::json::object() : Value.as_object();
}

http_answer call(const std::string &Address, const std::string &Method, const std::string &Path,
                 const std::string &Body, std::chrono::milliseconds Limit) {
  http_call Call(Address, Limit);
  return Call.send(Method, Path, Body);
}

std::string declarationText(int Number) {
  return "[limits]\nmax_queued = " + std::to_string(Number + 1) + "\n";
}

std::string changeBody(const std::string &Id, std::uint64_t Base, const std::string &Text) {
  return boost::json::serialize(
      boost::json::object{{"change_id", Id}, {"base_revision", Base}, {"text", Text}});
}

control_cluster::control_cluster(std::size_t Count, std::string MoreSettings)
    : More(std::move(MoreSettings)) {
  const auto Addresses = freeAddresses(3 * Count);
  for (std::size_t Host = 0; Host < Count; ++Host)
    Hosts.push_back(
        {Addresses[3 * Host], Addresses[3 * Host + 1], Addresses[3 * Host + 2], nullptr});
  writeFile(Folder.path() / "key", keyHash(OperatorKey) + "\n");
  for (std::size_t Host = 0; Host < Count; ++Host) {
    writeSettings(Host);
    start(Host);
  }
}

void control_cluster::writeSettings(std::size_t Host) {
  std::string Peers;
  for (std::size_t Peer = 0; Peer < Hosts.size(); ++Peer)
    Peers += (Peer == 0 ? "" : ", ") + tomlText(std::to_string(Peer + 1) + "=" + Hosts[Peer].Peers);
  const std::string Number = std::to_string(Host + 1);
  writeFile(Folder.path() / ("control" + Number + ".toml"),
            "fleet = " + tomlText(Fleet) + "\nmember_id = " + Number + "\npeers = [" + Peers +
                "]\nbootstrap = " + (Host == 0 ? "true" : "false") +
                "\n[host]\nname = " + tomlText("control-" + Number) +
                "\nfailure_domain = " + tomlText("domain-" + Number) +
                "\n[data]\nfolder = " + tomlText(folder(Host).string()) + "\n[listen]\npeers = " +
                tomlText(Hosts[Host].Peers) + "\nentries = " + tomlText(Hosts[Host].Entries) +
                "\noperators = " + tomlText(Hosts[Host].Operators) +
                "\naddress_file = " + tomlText((Folder.path() / ("addresses" + Number)).string()) +
                "\n[operators]\nkey_hash_file = " + tomlText((Folder.path() / "key").string()) +
                "\n" + (More.empty() ? "[log]\nheartbeat_ms = 40\nelection_ms = 400\n" : More));
}

std::vector<std::string> control_cluster::command(std::size_t Host) const {
  const std::string File = "control" + std::to_string(Host + 1) + ".toml";
  return {POLLENSTALL_BIN_DIR "/pollenstall-control", "--config", (Folder.path() / File).string()};
}

void control_cluster::start(std::size_t Host) {
  Hosts[Host].Process = std::make_unique<child_process>(
      command(Host), Folder.path() / ("log" + std::to_string(Host + 1)));
}

void control_cluster::kill(std::size_t Host) {
  Hosts[Host].Process->signal(SIGKILL);
  Hosts[Host].Process->wait();
  Hosts[Host].Process.reset();
}

void control_cluster::freeze(std::size_t Host) { Hosts[Host].Process->signal(SIGSTOP); }
void control_cluster::thaw(std::size_t Host) { Hosts[Host].Process->signal(SIGCONT); }
void control_cluster::loseDisk(std::size_t Host) { std::filesystem::remove_all(folder(Host)); }

std::filesystem::path control_cluster::folder(std::size_t Host) const {
  return Folder.path() / ("data" + std::to_string(Host + 1));
}

std::string control_cluster::log(std::size_t Host) const {
  return readFile(Folder.path() / ("log" + std::to_string(Host + 1)));
}

http_answer control_cluster::get(std::size_t Host, const std::string &Path) const {
  return call(Hosts[Host].Operators, "GET", Path);
}

http_answer control_cluster::post(std::size_t Host, const std::string &Path,
                                  const std::string &Body) const {
  return call(Hosts[Host].Operators, "POST", Path, Body);
}

boost::json::object control_cluster::status(std::size_t Host) const {
  constexpr std::chrono::milliseconds Limit{500};
  return call(Hosts[Host].Operators, "GET", "/v1/status", {}, Limit).json();
}

std::size_t control_cluster::waitForLeader(std::optional<std::size_t> Except) {
  std::size_t Leader = 0;
  const bool Found = waitUntil([&] {
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
  constexpr unsigned Misdirected = 421;
  constexpr unsigned Unavailable = 503;
  http_answer Answer;
  std::size_t Host = 0;
  waitUntil([&] {
    Host = (Host + 1) % Hosts.size();
    if (!runs(Host))
      return false;
    Answer = post(Host, "/v1/changes", changeBody(Id, Base, Text));
    return Answer.Status != 0 && Answer.Status != Misdirected && Answer.Status != Unavailable;
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
                       std::uint64_t Life)
    : Link(control_link_builder(Controls, Fleet)
               .process({host_name(Host), incarnation(Life)}, failure_domain_name("domain-1"))
               .renewEvery(std::chrono::milliseconds(100))
               .answerWithin(std::chrono::milliseconds(500))
               .start()) {}

bool test_entry::pumpUntil(const std::function<bool()> &Condition,
                           std::chrono::milliseconds Limit) {
  return waitUntil(
      [&] {
        pump();
        return Condition();
      },
      Limit);
}

void test_entry::pump() {
  Link->drainEvents([this](control_link_event &&Event) {
    std::visit([this](const auto &One) { take(One); }, Event);
  });
}

void test_entry::take(const declaration_received &Event) {
  ++Offers;
  const offer_verdict Verdict = Freshness.offer(Event.Revision);
  if (Verdict == offer_verdict::Stale) {
    ++StaleOffers;
    return;
  }
  Freshness.inUse(Event.Revision);
  Text = Event.Text;
  if (Confirms)
    Link->request(revision_confirmed{Event.Revision});
}

void test_entry::take(const lease_extended &Event) {
  Freshness.extend(Event.Revision, Event.Until);
}
void test_entry::take(const claim_answered &Event) { Verdicts[Event.Request] = Event.Verdict; }
void test_entry::take(const drains_changed &Event) { Drains = Event.Backends; }
void test_entry::take(const control_lost & /*Event*/) {}

claim_verdict test_entry::claim(std::uint64_t Request, const std::string &Key,
                                std::chrono::milliseconds Limit) {
  const request_number Number(Request);
  Verdicts.erase(Number);
  Link->request(claim_wanted{{Number, Key, boot_clock::now() + Limit}, std::chrono::hours(1)});
  EXPECT_TRUE(pumpUntil([&] { return Verdicts.count(Number) != 0; }, 2 * Limit));
  return Verdicts[Number];
}

void test_entry::settle(std::uint64_t Request, const std::string &Key, claim_standing Standing) {
  Link->request(claim_ended{{request_number(Request), Key, Standing}, std::chrono::hours(1)});
}

} // namespace pollenstall
