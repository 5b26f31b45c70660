/** @file load_options.cpp Converts options to TOML text for the settings table. */
#include "load/load_options_func.h"

#include <boost/json.hpp>
#include <popt.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace pollenstall {

namespace {

struct context_deleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using context_holder = std::unique_ptr<poptContext_s, context_deleter>;

enum option_value : int {
  HelpOption = 1,
  VersionOption,
  ManualOption,
  CheckOption,
  ConfigOption,
  FirstTextOption, ///< First option with a text value.
  KeyFileOption = FirstTextOption,
  PathOption,
  ModelOption,
  FirstNumberOption, ///< First option with a number value.
  RateOption = FirstNumberOption,
  ConcurrencyOption,
  CountOption,
  DurationOption,
  TimeoutOption,
  AnswerTokensOption,
  StreamOption,
  ThreadsOption,
  SeedOption,
  FirstListOption, ///< First option that may be repeated.
  TargetOption = FirstListOption,
  MixOption,
  HeaderOption,
  BoundOption,
  OptionEnd
};

/// An option of the command line and the settings key that it sets.
struct option_row {
  const char *Name;
  const char *Key;
  const char *Meaning;
};

constexpr option_row Rows[OptionEnd - FirstTextOption] = {
    {"key-file", "key_file", "file with the client account's key"},
    {"path", "path", "path of the interface"},
    {"model", "model", "model to request"},
    {"rate", "rate_per_s", "arrivals per second; without it, a fixed concurrency"},
    {"concurrency", "concurrency", "requests open at once"},
    {"count", "count", "maximum number of requests"},
    {"duration-ms", "duration_ms", "time after which no request is sent"},
    {"timeout-ms", "timeout_ms", "timeout of a request"},
    {"answer-tokens", "answer_tokens", "tokens to request"},
    {"stream-percent", "stream_percent", "share of requests that are streamed"},
    {"threads", "threads", "number of sending threads"},
    {"seed", "seed", "random seed of arrivals and mix"},
    {"target", "targets", "IP:port; may be repeated"},
    {"mix", "mix", "name:prompt tokens:weight; may be repeated"},
    {"header", "headers", "\"name: value\"; may be repeated"},
    {"bound", "bounds", "metric<=number, exit code 1 if exceeded; may be repeated"}};

std::string quoted(const std::string &Text) {
  return boost::json::serialize(boost::json::string(Text));
}

/// The options of the command line, as text.
struct option_values {
  std::string ConfigFile;
  std::string Lines; ///< TOML lines for text and number settings.
  std::vector<std::vector<std::string>> Lists{OptionEnd - FirstListOption};
  bool CheckOnly{false};
};

void storeOption(option_values &Options, int Option, const std::string &Value) {
  if (Option >= FirstListOption) {
    Options.Lists[static_cast<std::size_t>(Option - FirstListOption)].push_back(Value);
    return;
  }
  const std::string Key = Rows[Option - FirstTextOption].Key;
  Options.Lines += Key + " = " + (Option < FirstNumberOption ? quoted(Value) : Value) + "\n";
}

std::string toToml(const option_values &Options) {
  std::string Text = Options.Lines;
  for (std::size_t Index = 0; Index < Options.Lists.size(); ++Index) {
    if (Options.Lists[Index].empty())
      continue;
    Text += std::string(Rows[FirstListOption - FirstTextOption + Index].Key) + " = [";
    for (const std::string &Value : Options.Lists[Index])
      Text += quoted(Value) + ", ";
    Text += "]\n";
  }
  return Text;
}

std::vector<poptOption> optionTable() {
  std::vector<poptOption> Table{
      {"config", 'c', POPT_ARG_STRING, nullptr, ConfigOption, "TOML settings file", "FILE"},
      {"check", '\0', POPT_ARG_NONE, nullptr, CheckOption, "check the settings and exit", nullptr},
      {"manual", '\0', POPT_ARG_NONE, nullptr, ManualOption, "print every setting and exit",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, "print the version and exit",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, "print this page and exit", nullptr}};
  for (int Option = FirstTextOption; Option < OptionEnd; ++Option) {
    const option_row &Row = Rows[Option - FirstTextOption];
    Table.push_back({Row.Name, '\0', POPT_ARG_STRING, nullptr, Option, Row.Meaning, "VALUE"});
  }
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return Table;
}

void printManual() {
  const settings_table<load_settings> Table = loadSettings();
  for (const auto &Row : Table.rows())
    printManualRow(Row.Key, Row.Allowed,
                   Row.Needed == presence::Required ? "(required)" : Row.Default, Row.Meaning);
}

result<option_values, exit_code> parseOptions(int Count, const char **Values) {
  const std::vector<poptOption> Table = optionTable();
  const context_holder Context(poptGetContext("pollenstall-load", Count, Values, Table.data(), 0));
  option_values Options;
  int Option = 0;
  while ((Option = poptGetNextOpt(Context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> Value(poptGetOptArg(Context.get()),
                                                            &std::free);
    if (Option == HelpOption) {
      std::cout << "pollenstall-load: sends requests, checks the answers and prints metrics\n";
      poptPrintHelp(Context.get(), stdout, 0);
      return exit_code::Ok;
    }
    if (Option == VersionOption) {
      std::cout << "pollenstall-load " << POLLENSTALL_VERSION << "\n";
      return exit_code::Ok;
    }
    if (Option == ManualOption) {
      printManual();
      return exit_code::Ok;
    }
    if (Option == CheckOption)
      Options.CheckOnly = true;
    else if (Option == ConfigOption)
      Options.ConfigFile = Value.get();
    else
      storeOption(Options, Option, Value.get());
  }
  if (Option < -1 || poptPeekArg(Context.get())) {
    std::cerr << "pollenstall-load: " << poptBadOption(Context.get(), 0) << ": "
              << poptStrerror(Option) << "\n";
    return exit_code::BadUsage;
  }
  return Options;
}

std::string firstLine(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  return Line;
}

} // namespace

result<load_command_line, exit_code> readLoadOptions(int Count, const char **Values) {
  const auto Parsed = parseOptions(Count, Values);
  if (!succeeded(Parsed))
    return errorOf(Parsed);
  const option_values &Options = valueOf(Parsed);
  std::string Text = toToml(Options);
  std::string Source = "command line";
  if (!Options.ConfigFile.empty()) {
    std::ostringstream File;
    File << std::ifstream(Options.ConfigFile).rdbuf();
    // The file comes first, so that errors have its line numbers. TOML rejects a duplicate key.
    Text = File.str() + "\n" + Text;
    Source = Options.ConfigFile;
  }
  auto Loaded = loadSettings().loadText(Text, Source);
  if (!succeeded(Loaded)) {
    std::cerr << toText(errorOf(Loaded));
    return exit_code::BadUsage;
  }
  load_command_line CommandLine{std::move(valueOf(Loaded)), Options.CheckOnly};
  if (!CommandLine.Settings.KeyFile.empty())
    CommandLine.Settings.Key = firstLine(CommandLine.Settings.KeyFile);
  return CommandLine;
}

} // namespace pollenstall
