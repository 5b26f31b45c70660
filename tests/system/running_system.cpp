/** @file running_system.cpp Writes the settings and starts the processes. */
#include "running_system_base.h"

#include "core/core.h"
#include "operators/operators.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <utility>

namespace pollenstall {

namespace {

constexpr int Ok = 200;
const std::string CallerKey = "caller-key";
const std::string FleetKey = "fleet-key";
const std::string ShortTimes = "[log]\nheartbeat_ms = 40\nelection_ms = 400\n"
                               "[entries]\nlease_ms = 2000\nconfirm_within_ms = 1000\n";

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string listOf(const std::vector<std::string> &Texts) {
  std::string List;
  for (const std::string &Text : Texts)
    List += (List.empty() ? "" : ", ") + quoted(Text);
  return "[" + List + "]";
}

std::string bearer(const std::string &Key) { return "Bearer " + Key; }

http_headers asCaller(http_headers ExtraHeaders = {}) {
  ExtraHeaders.emplace_back("Authorization", bearer(CallerKey));
  return ExtraHeaders;
}

std::size_t lengthAt(const boost::json::value &Dump, const char *Pointer) {
  boost::json::error_code Code;
  const boost::json::value *Found = Dump.find_pointer(Pointer, Code);
  return Found && Found->is_array() ? Found->get_array().size() : 0;
}

} // namespace

std::string outcomeOf(const http_answer &Answer) { return Answer.header("X-Pollenstall-Outcome"); }

bool isCompleteStream(const std::vector<sse_event> &Events) {
  for (std::size_t Index = 0; Index < Events.size(); ++Index)
    if (Events[Index].Id != std::to_string(Index + 1))
      return false;
  return !Events.empty() && Events.back().Data == "[DONE]";
}

running_system::running_system(const system_options &InitialOptions)
    : Plan(InitialOptions), Control(3, ShortTimes) {
  (void)Folder.write("fleet.key", FleetKey);
  (void)Folder.write("operator.key", control_cluster::operatorKey());
  (void)Control
      .waitForLeader(); // Its hosts are bound to their ports now, so no port is allocated twice.
  const auto Addresses = freeTcpAddresses(3 * EntryCount);
  const auto Gossip = freeUdpAddresses(EntryCount);
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    Entries.push_back({Addresses[3 * Index], Addresses[3 * Index + 1], Addresses[3 * Index + 2],
                       Gossip[Index], nullptr});
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    startEntry(Index);
  for (int Index = 0; Index < Plan.Engines; ++Index)
    Engines.push_back(
        std::make_unique<backend_process>(backendSettings(engineTop(), Plan.EngineTables)));
  for (int Index = 0; Index < Plan.Plain; ++Index)
    PlainServers.push_back(std::make_unique<backend_process>(
        backendSettings("service = \"letters\"\nkind = \"plain\"\n", {})));
  requireInvariant(declare(1'000), "the declaration is accepted");
  requireInvariant(eventually([this] { return allReady(); }), "the whole system becomes ready");
}

std::string running_system::declarationWith(int MaxQueued) const {
  return "[[service]]\nname = \"llm\"\nkind = \"model\"\nmodels = [\"m\"]\n" + Plan.ServiceLines +
         "[[service]]\nname = \"letters\"\nkind = \"plain\"\nroutes = [{ path_prefix = \"/send\", "
         "idempotent = false }, { path_prefix = \"/pages\" }]\n"
         "[[group]]\nname = \"engines\"\nservice = \"llm\"\nlabels = {}\n"
         "[[group]]\nname = \"sites\"\nservice = \"letters\"\nlabels = {}\n"
         "[[selector]]\nname = \"any-llm\"\nservice = \"llm\"\ngroups = [{ group = \"engines\" }]\n"
         "[[selector]]\nname = \"any-letter\"\nservice = \"letters\"\n"
         "groups = [{ group = \"sites\" }]\n"
         "[[account]]\nname = \"acme-1\"\nkey_hashes = [" +
         quoted(keyHash(CallerKey)) +
         "]\n[limits]\nretry_percent = 100\nmax_queued = " + std::to_string(MaxQueued) + "\n";
}

bool running_system::declare(int MaxQueued) {
  const auto Answer =
      Control.change("declare-" + std::to_string(Revision), Revision, declarationWith(MaxQueued));
  if (Answer.Status != Ok)
    return false;
  ++Revision;
  return true;
}

std::string running_system::addressFile(std::size_t Index) const {
  return Folder.path("entry-" + std::to_string(Index) + ".json");
}

std::string running_system::entrySettings(std::size_t Index) const {
  const entry_process &Entry = Entries[Index];
  std::vector<std::string> Seeds;
  std::vector<std::string> Peers;
  for (const entry_process &Other : Entries) {
    Seeds.push_back(Other.Gossip);
    Peers.push_back(Other.Announcements);
  }
  return "[host]\nname = " + quoted("entry-" + std::to_string(Index)) +
         "\nfailure_domain = " + quoted("domain-" + std::to_string(Index + 1)) +
         "\n[fleet]\nname = " + quoted(control_cluster::fleet()) +
         "\nkey_file = " + quoted(Folder.path("fleet.key")) +
         "\n[operators]\nkey_hash = " + quoted(keyHash(control_cluster::operatorKey())) +
         "\n[listen]\ncallers = " + quoted(Entry.Callers) +
         "\noperators = " + quoted(Entry.Operators) +
         "\nannouncements = " + quoted(Entry.Announcements) + "\ngossip = " + quoted(Entry.Gossip) +
         "\naddress_file = " + quoted(addressFile(Index)) + "\n[gossip]\nseeds = " + listOf(Seeds) +
         "\n[announcements]\npeers = " + listOf(Peers) +
         "\n[control]\naddresses = " + listOf(Control.entryAddresses()) + "\n";
}

void running_system::startEntry(std::size_t Index) {
  const std::string File = addressFile(Index);
  std::filesystem::remove(File);
  entry_process &Entry = Entries.at(Index);
  Entry.Process = child_process::withSettings("pollenstall-entry", entrySettings(Index));
  const bool Started = eventually([&File] { return !readFile(File).empty(); });
  requireInvariant(Started, "the entry starts", [&Entry] {
    std::string Text;
    for (const std::string &Line : Entry.Process->errorLines())
      Text += Line + "\n";
    return Text;
  });
}

void running_system::killEntry(std::size_t Index) {
  entry(Index).kill();
  (void)entry(Index).wait();
}

std::string running_system::engineTop() const {
  return "service = \"llm\"\nmodels = [\"m\"]\n" + Plan.EngineTop;
}

std::string running_system::backendSettings(const std::string &Top,
                                            const std::string &Tables) const {
  std::vector<std::string> AnnounceAddresses;
  for (const entry_process &Entry : Entries)
    AnnounceAddresses.push_back(Entry.Announcements);
  return "fleet = " + quoted(control_cluster::fleet()) + "\n" + Top +
         "[announce]\nto = " + listOf(AnnounceAddresses) +
         "\nkey_file = " + quoted(Folder.path("fleet.key")) + "\ninterval_ms = 100\n" + Tables;
}

void running_system::restartEngine(std::size_t Index) {
  const std::string Listen = "listen.address = " + quoted(engine(Index).address()) + "\n";
  Engines.at(Index).reset();
  Engines.at(Index) =
      std::make_unique<backend_process>(backendSettings(engineTop() + Listen, Plan.EngineTables));
}

std::size_t running_system::restartEndedEngines() {
  std::size_t Ended = 0;
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    if (engine(Index).process().wait(std::chrono::milliseconds(0))) {
      restartEngine(Index);
      ++Ended;
    }
  return Ended;
}

http_client running_system::caller(std::size_t Entry) const {
  return http_client(Entries.at(Entry).Callers);
}

http_client running_system::operators(std::size_t Entry) const {
  return http_client(Entries.at(Entry).Operators);
}

bool running_system::ready(std::size_t Entry) const {
  return operators(Entry).get("/readyz").Status == Ok;
}

bool running_system::allReady() const {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    if (!ready(Entry) || revisionInUse(Entry) < Revision ||
        lengthAt(dump(Entry), "/decisions/scheduling/backends") <
            Engines.size() + PlainServers.size())
      return false;
  return true;
}

boost::json::value running_system::dump(std::size_t Entry) const {
  return operators(Entry)
      .get("/dump", {{"Authorization", bearer(control_cluster::operatorKey())}})
      .json();
}

std::string running_system::description() const {
  std::ostringstream Text;
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    Text << "\nentry " << Index << ": " << dump(Index);
    for (const std::string &Line : Entries[Index].Process->errorLines())
      Text << "\n  " << Line;
  }
  for (const auto &Engine : Engines)
    Text << "\nengine " << Engine->address() << ": running " << Engine->stat("running")
         << ", waiting " << Engine->stat("waiting") << ", starts " << Engine->stat("starts");
  for (std::size_t Host = 0; Host < Control.size(); ++Host)
    Text << "\ncontrol " << Host << ": "
         << (Control.runs(Host) ? Control.log(Host) : "not running");
  return Text.str();
}

bool running_system::acceptsWork(std::size_t Entry, const std::string &Backend) const {
  const boost::json::value State = dump(Entry);
  boost::json::error_code Code;
  const boost::json::value *Records = State.find_pointer("/decisions/scheduling/backends", Code);
  if (!Records || !Records->is_array())
    return true; // Unknown state: a test that waits for an update keeps waiting.
  const auto &List = Records->get_array();
  return std::any_of(List.begin(), List.end(), [&Backend](const boost::json::value &Record) {
    const std::string Name(Record.at("backend").as_string());
    return Name.find(Backend) != std::string::npos && Record.at("standing") == "active";
  });
}

bool running_system::inForce(std::uint64_t ExpectedRevision) const {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    if (!ready(Entry) || revisionInUse(Entry) != ExpectedRevision)
      return false;
  return true;
}

std::uint64_t running_system::revisionInUse(std::size_t Entry) const {
  const std::string Name = "pollenstall_declaration_revision ";
  std::istringstream Lines(operators(Entry).get("/metrics").Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name))
      return static_cast<std::uint64_t>(std::stod(Line.substr(Name.size())));
  return 0;
}

std::size_t running_system::abandoned(std::size_t Entry) const {
  return lengthAt(dump(Entry), "/decisions/dispatch/abandoned");
}

http_answer running_system::send(std::size_t Entry, const std::string &Key) const {
  return caller(Entry).post("/send/letter", "to every subscriber",
                            asCaller({{"Idempotency-Key", Key}}));
}

std::future<http_answer> running_system::sendAsync(std::size_t Entry,
                                                   const std::string &Key) const {
  return std::async(std::launch::async, [this, Entry, Key] { return send(Entry, Key); });
}

std::int64_t running_system::startsByKey(const std::string &Key) const {
  std::int64_t Starts = 0;
  for (const auto &Server : PlainServers)
    Starts += Server->startsByKey(Key);
  return Starts;
}

std::size_t running_system::waitForStart(const std::string &Key) const {
  std::size_t Found = 0;
  const bool Started = eventually([&] {
    for (Found = 0; Found < PlainServers.size(); ++Found)
      if (PlainServers[Found]->startsByKey(Key) > 0)
        return true;
    return false;
  });
  EXPECT_TRUE(Started) << Key;
  return Started ? Found : 0;
}

bool running_system::plainFaults(const std::string &Json) const {
  return std::all_of(PlainServers.begin(), PlainServers.end(),
                     [&Json](const auto &Server) { return Server->faults(Json); });
}

http_answer running_system::chat(std::size_t Entry, const std::string &Prompt, int AnswerTokens,
                                 http_headers ExtraHeaders) const {
  return caller(Entry).post("/v1/chat/completions", chatBody("m", Prompt, false, AnswerTokens),
                            asCaller(std::move(ExtraHeaders)));
}

http_answer running_system::chatOf(std::size_t Entry,
                                   const std::vector<std::string> &Messages) const {
  constexpr int AnswerTokens = 2;
  boost::json::array List;
  for (const std::string &Message : Messages)
    List.push_back({{"role", "user"}, {"content", Message}});
  const boost::json::object Body{
      {"model", "m"}, {"messages", std::move(List)}, {"max_tokens", AnswerTokens}};
  return caller(Entry).post("/v1/chat/completions", boost::json::serialize(Body), asCaller());
}

std::unique_ptr<http_stream> running_system::stream(std::size_t Entry, const std::string &Prompt,
                                                    int AnswerTokens,
                                                    http_headers ExtraHeaders) const {
  return std::make_unique<http_stream>(Entries.at(Entry).Callers, "POST", "/v1/chat/completions",
                                       chatBody("m", Prompt, true, AnswerTokens),
                                       asCaller(std::move(ExtraHeaders)));
}

std::size_t running_system::engineWith(const std::string &Statistic) const {
  std::size_t Engine = 0;
  const bool Found = eventually([&] {
    for (Engine = 0; Engine < Engines.size(); ++Engine)
      if (Engines[Engine]->stat(Statistic) > 0)
        return true;
    return false;
  });
  EXPECT_TRUE(Found) << "no engine reports " << Statistic << description();
  return Found ? Engine : 0;
}

bool running_system::isMemoryReleased() const {
  for (const auto &Engine : Engines)
    if (Engine->stat("used_blocks") != 0 || Engine->stat("running") != 0 ||
        Engine->stat("waiting") != 0)
      return false;
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    if (abandoned(Entry) != 0 || lengthAt(dump(Entry), "/decisions/dispatch/requests") != 0)
      return false;
  return true;
}

int running_system::ctl(std::vector<std::string> CommandArguments) const {
  std::string Urls;
  for (std::size_t Host = 0; Host < Control.size(); ++Host)
    Urls += (Host == 0 ? "http://" : ",http://") + Control.operatorAddress(Host);
  std::vector<std::string> Arguments{"--control", Urls, "--key-file", Folder.path("operator.key")};
  Arguments.insert(Arguments.end(), CommandArguments.begin(), CommandArguments.end());
  child_process Tool("pollenstallctl", std::move(Arguments));
  const int Code = Tool.wait().value_or(-1);
  if (Code != 0) {
    std::string CommandOutput = Tool.output();
    for (const std::string &Line : Tool.errorLines())
      CommandOutput += Line + "\n";
    std::cout << "pollenstallctl ended with " << Code << ": " << CommandOutput << "\n";
  }
  return Code;
}

} // namespace pollenstall
