/** @file backend_settings.cpp The settings' keys, bounds and meanings. */
#include "fake_backend/backend_settings_type.h"
#include "fake_backend/fault_type.h"
#include "program/program.h"

#include <algorithm>
#include <initializer_list>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;
using table = settings_table<backend_settings>;

constexpr std::int64_t Million = 1'000'000;

text_check oneOf(std::initializer_list<const char *> Names) {
  return [Allowed = std::vector<std::string>(Names.begin(), Names.end())](
             const std::string &Text) -> std::optional<std::string> {
    if (std::find(Allowed.begin(), Allowed.end(), Text) != Allowed.end())
      return std::nullopt;
    return "one of the names listed";
  };
}

std::optional<std::string> checkLabel(const std::string &Text) {
  const auto Equals = Text.find('=');
  if (Equals == std::string::npos)
    return "name=value";
  if (checkName(Text.substr(0, Equals)) || checkName(Text.substr(Equals + 1)))
    return "name=value";
  return std::nullopt;
}

std::optional<std::string> checkFaults(const std::string &Text) {
  fault_plan Plan;
  const auto Applied = applyFaults(Plan, Text);
  if (succeeded(Applied))
    return std::nullopt;
  return errorOf(Applied).Message;
}

std::optional<std::string> checkLogLevel(const std::string &Text) {
  if (logLevelFromText(Text))
    return std::nullopt;
  return "debug, info, warning or error";
}

void addIdentity(table &Table) {
  const char *Name = "a name of letters, digits, '.', '_' and '-'";
  Table
      .text("listen.address", &backend_settings::Listen, presence::Optional, "IP:port",
            checkAddress, "Address for entries; port 0 takes any free one.", "127.0.0.1:0")
      .text("listen.address_file", &backend_settings::AddressFile, presence::Optional, "a path", {},
            "File that the bound address is written to.")
      .text("fleet", &backend_settings::Fleet, presence::Optional, Name, checkName,
            "Fleet that is announced.", "fleet")
      .text("service", &backend_settings::Service, presence::Optional, Name, checkName,
            "Service that is announced.", "service")
      .text("kind", &backend_settings::Kind, presence::Optional, "model or plain",
            oneOf({"model", "plain"}), "Whether it runs a model or echoes any call.", "model")
      .text("failure_domain", &backend_settings::FailureDomain, presence::Optional, Name, checkName,
            "Failure domain that is announced.", "domain-a")
      .texts("labels", &backend_settings::Labels, presence::Optional, "name=value", checkLabel,
             "Labels that are announced.")
      .texts("models", &backend_settings::Models, presence::Optional, "a model's name",
             checkNotEmpty, "Models that are loaded at the start.")
      .texts("announce.to", &backend_settings::AnnounceTo, presence::Optional, "IP:port",
             checkAddress, "Announcement addresses of entries; none announces nothing.")
      .text("announce.key_file", &backend_settings::KeyFile, presence::Optional, "a path", {},
            "File with the fleet key.")
      .span("announce.interval_ms", &backend_settings::AnnounceInterval,
            {milliseconds(500), milliseconds(10), milliseconds(60'000)},
            "Time between announcements.");
}

void addCapabilities(table &Table) {
  Table
      .flag("capabilities.priorities", &backend_settings::Priorities, true,
            "Whether it runs lower priorities first.")
      .flag("capabilities.cancels", &backend_settings::Cancels, true,
            "Whether it cancels on request.")
      .flag("capabilities.resumes", &backend_settings::Resumes, true,
            "Whether broken streams can be resumed; if not, a break cancels.")
      .flag("capabilities.moves_cache", &backend_settings::MovesCache, true,
            "Whether it exports and imports KV cache.")
      .text("capabilities.orders", &backend_settings::Orders, presence::Optional,
            "none, unfenced or fenced", oneOf({"none", "unfenced", "fenced"}),
            "Whether it takes orders and checks their fencing number.", "fenced");
}

void addEngine(table &Table) {
  Table.number("step.base_us", &backend_settings::BaseUs, {2000, 1, Million}, "Time of every step.")
      .fraction("step.per_prefill_token_us", &backend_settings::PrefillTokenUs, {20.0, 0.0, 1e6},
                "Added for each prompt token computed in a step.")
      .number("step.per_sequence_us", &backend_settings::PerSequenceUs, {50, 0, Million},
              "Added for each sequence that gets a token in a step.")
      .number("step.chunk_tokens", &backend_settings::ChunkTokens, {512, 1, Million},
              "Prompt tokens computed in one step at most.")
      .number("step.max_running", &backend_settings::MaxRunning, {256, 1, Million},
              "Sequences that run at once at most.")
      .number("memory.blocks", &backend_settings::Blocks, {8192, 1, 100 * Million},
              "Blocks of KV memory.")
      .number("memory.block_tokens", &backend_settings::BlockTokens, {16, 1, 4096},
              "Tokens of one block.")
      .number("memory.prefix_cache_blocks", &backend_settings::PrefixCacheBlocks,
              {2048, 0, 100 * Million}, "Idle blocks kept as prefix cache at most.")
      .number("answer_tokens", &backend_settings::AnswerTokens, {16, 1, Million},
              "Tokens of an answer where the caller gives no number.");
}

void addReports(table &Table) {
  Table
      .span("resume_window_ms", &backend_settings::ResumeWindow,
            {milliseconds(30'000), milliseconds(0), milliseconds(3'600'000)},
            "Time for which a broken stream can be resumed; then it is cancelled.")
      .span("load_lag_ms", &backend_settings::LoadLag,
            {milliseconds(0), milliseconds(0), milliseconds(60'000)}, "Age of the load reported.")
      .span("cache_event_lag_ms", &backend_settings::CacheEventLag,
            {milliseconds(100), milliseconds(0), milliseconds(60'000)}, "Delay of cache events.")
      .fraction("cache_event_loss", &backend_settings::CacheEventLoss, {0.0, 0.0, 1.0},
                "Share of cache events that are lost.")
      .span("plain_delay_ms", &backend_settings::PlainDelay,
            {milliseconds(0), milliseconds(0), milliseconds(600'000)}, "Time a plain call takes.")
      .span("shutdown_limit_ms", &backend_settings::ShutdownLimit,
            {milliseconds(30'000), milliseconds(0), milliseconds(3'600'000)},
            "Time for running work after SIGTERM; exit code 3 past it.")
      .number("seed", &backend_settings::Seed, {1, 0, 1'000'000'000}, "Seed of the losses.")
      .text("faults", &backend_settings::Faults, presence::Optional,
            "a JSON object as POST /faults takes it", checkFaults, "Faults from the start.", "{}")
      .text("log_level", &backend_settings::LogLevel, presence::Optional,
            "debug, info, warning or error", checkLogLevel, "Least level that is logged.", "info");
}

} // namespace

settings_table<backend_settings> backendSettings() {
  table Table;
  addIdentity(Table);
  addCapabilities(Table);
  addEngine(Table);
  addReports(Table);
  return Table;
}

} // namespace pollenstall
