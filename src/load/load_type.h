/** @file load_type.h Settings of a run and what is noted of each request. */
#ifndef POLLENSTALL_LOAD_LOAD_TYPE_H
#define POLLENSTALL_LOAD_LOAD_TYPE_H

#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// As TOML or the command line gives them; loadSettings() has the meanings.
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

/// @return The table that reads them.
settings_table<load_settings> loadSettings();

/// One class of the length mix: "name:prompt tokens:weight".
struct length_class {
  std::string Name;
  std::int64_t PromptTokens{0};
  double Weight{0};
};

/// @return The class, or nothing where the text is none.
std::optional<length_class> parseLengthClass(const std::string &Text);

/// How a request ended, as its caller sees it.
enum class load_outcome : std::uint8_t {
  Complete, ///< Whole and the answer to its own prompt.
  Wrong,    ///< Ended in order, but not the answer to its own prompt, or with a gap in it.
  Cut,      ///< Broke off without [DONE] and without an error.
  NotRun,   ///< An error that says the request was not run.
  Unknown,  ///< An error that says nothing, or that the outcome is unknown.
  Refused,  ///< The connection was refused or reset before any byte of an answer.
  TimedOut, ///< The tool's own limit passed.
  NotSent   ///< The tool had too many requests open.
};
constexpr std::size_t LoadOutcomes = 8;

/// @return The name that the report uses.
const char *outcomeName(load_outcome Outcome);

/// One request's figures. Times count from when it was due, so that a late start is not hidden.
struct load_sample {
  std::size_t Class{0}; ///< Place in the mix.
  load_outcome Outcome{load_outcome::Unknown};
  int Status{0};
  std::int64_t Events{0};
  std::optional<std::chrono::nanoseconds> FirstToken;
  std::chrono::nanoseconds Total{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_TYPE_H
