/** @file load_settings.cpp The table of settings, with their bounds and help texts. */
#include "core/core.h"
#include "load/load_bound_func.h"
#include "load/load_type.h"

#include <array>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

std::optional<std::string> checkMix(const std::string &Text) {
  if (parseLengthClass(Text))
    return std::nullopt;
  return "name:prompt tokens:weight";
}

std::optional<std::string> checkBound(const std::string &Text) {
  if (parseBound(Text))
    return std::nullopt;
  return "metric<=number or metric>=number";
}

std::optional<std::string> checkHeader(const std::string &Text) {
  if (Text.find(": ") != std::string::npos)
    return std::nullopt;
  return "name: value";
}

template <typename Number> bool readNumber(const std::string &Text, Number &Value) {
  Value = parseNumber<Number>(Text).value_or(Number{});
  return Value > 0;
}

void addRequestSettings(settings_table<load_settings> &Table) {
  Table
      .texts("targets", &load_settings::Targets, presence::Required, "IP:port", checkAddress,
             "Entries or backend servers, which receive requests in turn.")
      .text("key_file", &load_settings::KeyFile, presence::Optional, "a path", {},
            "File with the client account's key.")
      .text("path", &load_settings::Path, presence::Optional, "a path", checkNotEmpty,
            "Path of the chat completions API.", "/v1/chat/completions")
      .text("model", &load_settings::Model, presence::Required, "a model's name", checkNotEmpty,
            "Model to request.")
      .texts("headers", &load_settings::Headers, presence::Optional, "name: value", checkHeader,
             "Headers added to every request.")
      .texts("mix", &load_settings::Mix, presence::Optional, "name:prompt tokens:weight", checkMix,
             "Prompt length classes; \"short:1000:1\" if none is given.")
      .number("answer_tokens", &load_settings::AnswerTokens, {16, 1, 1'000'000},
              "Tokens to request per answer.")
      .number("stream_percent", &load_settings::StreamPercent, {100, 0, 100},
              "Share of requests that are streamed.")
      .number("shared_prefix_percent", &load_settings::SharedPrefixPercent, {0, 0, 95},
              "Share of each prompt that is common to its prefix group.")
      .number("prefix_groups", &load_settings::PrefixGroups, {8, 1, 100'000},
              "Number of groups of prompts with a common prefix.");
}

} // namespace

settings_table<load_settings> loadSettings() {
  settings_table<load_settings> Table;
  addRequestSettings(Table);
  Table
      .fraction("rate_per_s", &load_settings::Rate, {0.0, 0.0, 1e6},
                "Arrivals per second, as a Poisson process; 0 keeps a fixed concurrency instead.")
      .number("concurrency", &load_settings::Concurrency, {1, 1, 20'000},
              "Requests open at once where no rate is given; with one, it is not used.")
      .number("count", &load_settings::Count, {100, 1, 100'000'000}, "Maximum number of requests.")
      .span("duration_ms", &load_settings::Duration,
            {milliseconds(60'000), milliseconds(1), milliseconds(86'400'000)},
            "Time after which no request is sent.")
      .span("timeout_ms", &load_settings::Timeout,
            {milliseconds(30'000), milliseconds(1), milliseconds(3'600'000)},
            "Timeout of a request, from its scheduled arrival.")
      .number("threads", &load_settings::Threads, {1, 1, 64}, "Number of sending threads.")
      .number("seed", &load_settings::Seed, {1, 0, 1'000'000'000},
              "Random seed of arrivals and mix.")
      .texts("bounds", &load_settings::Bounds, presence::Optional, "metric<=number", checkBound,
             "Exit code 1 if a bound is exceeded; the report names the metrics.");
  return Table;
}

std::optional<length_class> parseLengthClass(const std::string &Text) {
  const auto First = Text.find(':');
  const auto Second = Text.find(':', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return std::nullopt;
  length_class Class;
  Class.Name = Text.substr(0, First);
  if (checkName(Class.Name) ||
      !readNumber(Text.substr(First + 1, Second - First - 1), Class.PromptTokens) ||
      !readNumber(Text.substr(Second + 1), Class.Weight))
    return std::nullopt;
  return Class;
}

const char *outcomeName(load_outcome Outcome) {
  constexpr std::array<const char *, LoadOutcomes> Names{
      "complete", "wrong", "cut", "not_run", "unknown", "refused", "timed_out", "not_sent"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

} // namespace pollenstall
