/** @file backend_settings.cpp Keys, defaults, bounds and descriptions of the settings. */
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
    return "one of the allowed values";
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
            checkAddress, "Address to listen on for entries; port 0 picks a free port.",
            "127.0.0.1:0")
      .text("listen.address_file", &backend_settings::AddressFile, presence::Optional, "a path", {},
            "File to which the bound address is written.")
      .text("fleet", &backend_settings::Fleet, presence::Optional, Name, checkName,
            "Announced fleet.", "fleet")
      .text("service", &backend_settings::Service, presence::Optional, Name, checkName,
            "Announced service.", "service")
      .text("kind", &backend_settings::Kind, presence::Optional, "model or plain",
            oneOf({"model", "plain"}), "Whether the server runs a model or echoes all calls.",
            "model")
      .text("failure_domain", &backend_settings::FailureDomain, presence::Optional, Name, checkName,
            "Announced failure domain.", "domain-a")
      .texts("labels", &backend_settings::Labels, presence::Optional, "name=value", checkLabel,
             "Announced labels.")
      .texts("models", &backend_settings::Models, presence::Optional, "a model's name",
             checkNotEmpty, "Models that are loaded at startup.")
      .texts("announce.to", &backend_settings::AnnounceTo, presence::Optional, "IP:port",
             checkAddress, "Announcement addresses of entries; if empty, nothing is announced.")
      .text("announce.key_file", &backend_settings::KeyFile, presence::Optional, "a path", {},
            "File that contains the fleet key.")
      .span("announce.interval_ms", &backend_settings::AnnounceInterval,
            {milliseconds(500), milliseconds(10), milliseconds(60'000)},
            "Time between announcements.");
}

void addCapabilities(table &Table) {
  Table
      .flag("capabilities.priorities", &backend_settings::Priorities, true,
            "Whether the engine runs lower priority values first.")
      .flag("capabilities.cancels", &backend_settings::Cancels, true,
            "Whether attempts can be cancelled.")
      .flag("capabilities.resumes", &backend_settings::Resumes, true,
            "Whether broken streams can be resumed; if not, a disconnect cancels the attempt.")
      .flag("capabilities.moves_cache", &backend_settings::MovesCache, true,
            "Whether KV cache can be exported and imported.")
      .text("capabilities.orders", &backend_settings::Orders, presence::Optional,
            "none, unfenced or fenced", oneOf({"none", "unfenced", "fenced"}),
            "Whether orders are accepted and their fencing token is checked.", "fenced");
}

void addEngine(table &Table) {
  Table
      .number("step.base_us", &backend_settings::BaseUs, {2000, 1, Million},
              "Base time of each step.")
      .fraction("step.per_prefill_token_us", &backend_settings::PrefillTokenUs, {20.0, 0.0, 1e6},
                "Time added to a step per prompt token computed in it.")
      .number("step.per_sequence_us", &backend_settings::PerSequenceUs, {50, 0, Million},
              "Time added to a step per sequence that gets a token in it.")
      .number("step.chunk_tokens", &backend_settings::ChunkTokens, {512, 1, Million},
              "Maximum number of prompt tokens computed in one step.")
      .number("step.max_running", &backend_settings::MaxRunning, {256, 1, Million},
              "Maximum number of sequences that run concurrently.")
      .number("memory.blocks", &backend_settings::Blocks, {8192, 1, 100 * Million},
              "Number of KV memory blocks.")
      .number("memory.block_tokens", &backend_settings::BlockTokens, {16, 1, 4096},
              "Tokens per block.")
      .number("memory.prefix_cache_blocks", &backend_settings::PrefixCacheBlocks,
              {2048, 0, 100 * Million}, "Maximum number of idle blocks kept in the prefix cache.")
      .number("answer_tokens", &backend_settings::AnswerTokens, {16, 1, Million},
              "Tokens of an answer if the caller sets no limit.");
}

void addReports(table &Table) {
  Table
      .span("resume_window_ms", &backend_settings::ResumeWindow,
            {milliseconds(30'000), milliseconds(0), milliseconds(3'600'000)},
            "Time during which a broken stream can be resumed before it is cancelled.")
      .span("load_lag_ms", &backend_settings::LoadLag,
            {milliseconds(0), milliseconds(0), milliseconds(60'000)}, "Age of the reported load.")
      .span("cache_event_lag_ms", &backend_settings::CacheEventLag,
            {milliseconds(100), milliseconds(0), milliseconds(60'000)}, "Delay of cache events.")
      .fraction("cache_event_loss", &backend_settings::CacheEventLoss, {0.0, 0.0, 1.0},
                "Fraction of cache events that are dropped.")
      .span("plain_delay_ms", &backend_settings::PlainDelay,
            {milliseconds(0), milliseconds(0), milliseconds(600'000)}, "Duration of a plain call.")
      .span("shutdown_limit_ms", &backend_settings::ShutdownLimit,
            {milliseconds(30'000), milliseconds(0), milliseconds(3'600'000)},
            "Time for running work to finish after SIGTERM; after that, the exit code is 3.")
      .number("seed", &backend_settings::Seed, {1, 0, 1'000'000'000},
              "Seed of the random cache event losses.")
      .text("faults", &backend_settings::Faults, presence::Optional,
            "a JSON object as accepted by POST /faults", checkFaults,
            "Faults injected from startup.", "{}")
      .text("log_level", &backend_settings::LogLevel, presence::Optional,
            "debug, info, warning or error", checkLogLevel, "Minimum level that is logged.",
            "info");
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
