/** @file entry_fleet.cpp Writes the settings and starts the processes. */
#include "entry_fleet_base.h"

#include "core/core.h"
#include "operators/operators.h"

#include <filesystem>
#include <sstream>

namespace pollenstall {

namespace {

constexpr const char *CallerKey = "caller-key";
constexpr const char *OperatorKey = "operator-key";
constexpr const char *FleetKey = "fleet-key";

std::string declarationText(const fleet_options &Options) {
  return "[[service]]\nname = \"llm\"\nkind = \"model\"\nmodels = [\"m\"]\n" +
         Options.ServiceLines +
         "[[service]]\nname = \"pages\"\nkind = \"plain\"\nroutes = [{ path_prefix = \"/pages\" }, "
         "{ path_prefix = \"/send\", idempotent = false }]\n"
         "[[group]]\nname = \"engines\"\nservice = \"llm\"\nlabels = {}\n"
         "[[group]]\nname = \"sites\"\nservice = \"pages\"\nlabels = {}\n"
         "[[selector]]\nname = \"any-llm\"\nservice = \"llm\"\ngroups = [{ group = \"engines\" }]\n"
         "[[selector]]\nname = \"any-page\"\nservice = \"pages\"\n"
         "groups = [{ group = \"sites\" }]\n"
         "[[account]]\nname = \"club\"\nkey_hashes = [\"" +
         keyHash(CallerKey) + "\"]\n" + Options.AccountLines + "[limits]\nretry_percent = 100\n";
}

std::string settingsText(const fleet_options &Options, const temp_folder &Folder,
                         const std::string &AnnouncementsAddress) {
  return Options.EntryTopLevelLines + "[host]\nname = \"e1\"\nfailure_domain = \"a\"\n" +
         "[fleet]\nname = \"test\"\nkey_file = \"" + Folder.path("fleet.key") + "\"\n" +
         "[operators]\nkey_hash = \"" + keyHash(OperatorKey) + "\"\n" +
         "[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"
         "announcements = \"" +
         AnnouncementsAddress + "\"\ngossip = \"127.0.0.1:0\"\naddress_file = \"" +
         Folder.path("addresses.json") + "\"\n[declaration]\nfile = \"" +
         Folder.path("declaration.toml") + "\"\n[limits]\n" + Options.EntryLimits;
}

} // namespace

http_headers callerAuthorization() {
  return {{"Authorization", std::string("Bearer ") + CallerKey}};
}

boost::json::object errorOf(const http_answer &Answer) {
  const boost::json::value Body = Answer.json();
  const boost::json::value *Error =
      Body.is_object() ? Body.get_object().if_contains("error") : nullptr;
  return Error && Error->is_object() ? Error->get_object() : boost::json::object();
}

std::string textIn(const boost::json::object &Object, std::string_view Name) {
  const boost::json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->get_string()) : std::string();
}

entry_fleet::entry_fleet(const fleet_options &Options) : FleetOptions(Options) {
  startEntry(Options);
  startBackends(Options);
  const std::size_t BackendCount = Engines.size() + PlainServers.size();
  const bool AllKnown = eventually([this, BackendCount] {
    return knownBackends() == BackendCount && operators().get("/readyz").Status == 200;
  });
  requireInvariant(AllKnown, "the entry knows every backend server");
}

void entry_fleet::startEntry(const fleet_options &Options) {
  (void)Folder.write("fleet.key", FleetKey);
  (void)Folder.write("declaration.toml", declarationText(Options));
  const std::string File = Folder.path("addresses.json");
  std::filesystem::remove(File);
  const std::string Address = Announcements.empty() ? "127.0.0.1:0" : Announcements;
  Entry = child_process::withSettings("pollenstall-entry", settingsText(Options, Folder, Address));
  const bool Started = eventually([&File] { return !readFile(File).empty(); });
  requireInvariant(Started, "the entry starts", [this] {
    std::string Text;
    for (const std::string &Line : Entry->errorLines())
      Text += Line + "\n";
    return Text;
  });
  const boost::json::object Addresses = boost::json::parse(readFile(File)).as_object();
  Callers = textIn(Addresses, "callers");
  Operators = textIn(Addresses, "operators");
  Announcements = textIn(Addresses, "announcements");
}

void entry_fleet::restartEntry() {
  Entry->kill();
  (void)Entry->wait();
  startEntry(FleetOptions);
}

void entry_fleet::startBackends(const fleet_options &Options) {
  const std::string Announce = "[announce]\nto = [\"" + Announcements + "\"]\nkey_file = \"" +
                               Folder.path("fleet.key") + "\"\ninterval_ms = 100\n";
  for (int Index = 0; Index < Options.EngineCount; ++Index)
    Engines.push_back(std::make_unique<backend_process>(
        "fleet = \"test\"\nservice = \"llm\"\nmodels = [\"m\"]\n" + Options.EngineTopLevelLines +
        Announce + Options.EngineTables));
  for (int Index = 0; Index < Options.PlainServerCount; ++Index)
    PlainServers.push_back(std::make_unique<backend_process>(
        "fleet = \"test\"\nservice = \"pages\"\nkind = \"plain\"\n" + Announce));
}

boost::json::value entry_fleet::dump() const {
  return operators().get("/dump", {{"Authorization", std::string("Bearer ") + OperatorKey}}).json();
}

std::size_t entry_fleet::knownBackends() const {
  const boost::json::value State = dump();
  boost::json::error_code Code;
  const boost::json::value *Backends = State.find_pointer("/decisions/scheduling/backends", Code);
  return Backends && Backends->is_array() ? Backends->get_array().size() : 0;
}

http_answer entry_fleet::chat(const std::string &Prompt, int AnswerTokens,
                              http_headers ExtraHeaders) const {
  for (auto &Header : callerAuthorization())
    ExtraHeaders.push_back(Header);
  return caller().post("/v1/chat/completions", chatBody("m", Prompt, false, AnswerTokens),
                       ExtraHeaders);
}

std::unique_ptr<http_stream> entry_fleet::stream(const std::string &Prompt,
                                                 int AnswerTokens) const {
  return std::make_unique<http_stream>(Callers, "POST", "/v1/chat/completions",
                                       chatBody("m", Prompt, true, AnswerTokens),
                                       callerAuthorization());
}

double entry_fleet::metric(const std::string &Name, const std::string &Label) const {
  std::istringstream Lines(operators().get("/metrics").Body);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    const bool Named = Line.starts_with(Name + " ") || Line.starts_with(Name + "{");
    if (Named && Line.find(Label) != std::string::npos)
      Sum += std::stod(Line.substr(Line.rfind(' ') + 1));
  }
  return Sum;
}

bool entry_fleet::isIdle() {
  for (const auto &Engine : Engines)
    if (Engine->stat("running") != 0 || Engine->stat("waiting") != 0 ||
        Engine->stat("used_blocks") != 0 || Engine->stat("open_answers") != 0)
      return false;
  return metric("pollenstall_open_requests") == 0 && metric("pollenstall_open_streams") == 0 &&
         metric("pollenstall_abandoned_attempts") == 0 && metric("pollenstall_body_bytes") == 0;
}

} // namespace pollenstall
