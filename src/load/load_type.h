/** @file load_type.h Settings of a load run and the sample of each request. */
#ifndef POLLENSTALL_LOAD_LOAD_TYPE_H
#define POLLENSTALL_LOAD_LOAD_TYPE_H

#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Settings from TOML or the command line; loadSettings() describes them.
struct load_settings {
  std::vector<std::string> Targets;
  std::string KeyFile;
  std::string Key;
  std::string Path;
  std::string Model;
  std::vector<std::string> Headers;
  std::vector<std::string> Mix;
  double Rate{};
  std::int64_t Concurrency{};
  std::int64_t Count{};
  std::chrono::milliseconds Duration{};
  std::chrono::milliseconds Timeout{};
  std::int64_t AnswerTokens{};
  std::int64_t StreamPercent{};
  std::int64_t SharedPrefixPercent{};
  std::int64_t PrefixGroups{};
  std::int64_t Threads{};
  std::int64_t Seed{};
  std::vector<std::string> Bounds;
};

/// @return The table that parses load_settings.
settings_table<load_settings> loadSettings();

/// A class of prompt lengths, written as "name:prompt tokens:weight".
struct length_class {
  std::string Name;
  std::int64_t PromptTokens{0};
  double Weight{0};
};

/// @return The parsed class, or nothing if the text is invalid.
std::optional<length_class> parseLengthClass(const std::string &Text);

/// How a request ended for its caller.
enum class load_outcome : std::uint8_t {
  Complete, ///< The answer is complete and belongs to its prompt.
  Wrong,    ///< The answer has gaps, repetitions or tokens of another prompt.
  Cut,      ///< The answer ended early: no [DONE], or an incomplete HTTP body, and no error.
  NotRun,   ///< An error which states that the request was not run.
  Unknown,  ///< An error which states an unknown outcome, or none.
  Refused,  ///< The connection was refused or reset before the response header.
  TimedOut, ///< The load tool's request timeout expired.
  NotSent   ///< The load tool had too many open requests.
};
constexpr std::size_t LoadOutcomes = 8;

/// @return The name of the outcome in the report.
const char *outcomeName(load_outcome Outcome);

/// Measurements of a request. Times count from its scheduled arrival, so that a delayed start is
/// included.
struct load_sample {
  std::size_t Class{0}; ///< Index in the mix.
  load_outcome Outcome{load_outcome::Unknown};
  int Status{0};
  std::int64_t Events{0};
  std::optional<std::chrono::nanoseconds> FirstToken;
  std::chrono::nanoseconds Total{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_TYPE_H
