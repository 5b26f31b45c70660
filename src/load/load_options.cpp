/** @file load_options.cpp Options become the TOML text that the settings table reads. */
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
  FirstText, ///< Options whose value is a text.
  KeyFileOption = FirstText,
  PathOption,
  ModelOption,
  FirstNumber, ///< Options whose value is a number.
  RateOption = FirstNumber,
  ConcurrencyOption,
  CountOption,
  DurationOption,
  TimeoutOption,
  AnswerTokensOption,
  StreamOption,
  ThreadsOption,
  SeedOption,
  FirstList, ///< Options that may be given again.
  TargetOption = FirstList,
  MixOption,
  HeaderOption,
  BoundOption,
  OptionEnd
};

/// Options by number, with the key of the settings that each one sets.
struct option_row {
  const char *Name;
  const char *Key;
  const char *Meaning;
};

constexpr option_row Rows[OptionEnd - FirstText] = {
    {"key-file", "key_file", "file with the client account's key"},
    {"path", "path", "path of the interface"},
    {"model", "model", "model that is asked for"},
    {"rate", "rate_per_s", "arrivals a second; without it, a fixed concurrency"},
    {"concurrency", "concurrency", "requests open at once"},
    {"count", "count", "requests at most"},
    {"duration-ms", "duration_ms", "time after which no request is started"},
    {"timeout-ms", "timeout_ms", "time for one request"},
    {"answer-tokens", "answer_tokens", "tokens asked for"},
    {"stream-percent", "stream_percent", "share of requests that are streamed"},
    {"threads", "threads", "threads that send"},
    {"seed", "seed", "seed of arrivals and mix"},
    {"target", "targets", "IP:port; may be given again"},
    {"mix", "mix", "name:prompt tokens:weight; may be given again"},
    {"header", "headers", "\"name: value\"; may be given again"},
    {"bound", "bounds", "metric<=number, exit code 1 past it; may be given again"}};

std::string quoted(const std::string &Text) {
  return boost::json::serialize(boost::json::string(Text));
}

/// What the options said, as text.
struct given_options {
  std::string ConfigFile;
  std::string Lines; ///< TOML of texts and numbers.
  std::vector<std::vector<std::string>> Lists{OptionEnd - FirstList};
  bool CheckOnly{false};
};

void take(given_options &Given, int Option, const std::string &Value) {
  if (Option >= FirstList) {
    Given.Lists[static_cast<std::size_t>(Option - FirstList)].push_back(Value);
    return;
  }
  const std::string Key = Rows[Option - FirstText].Key;
  Given.Lines += Key + " = " + (Option < FirstNumber ? quoted(Value) : Value) + "\n";
}

std::string tomlOf(const given_options &Given) {
  std::string Text = Given.Lines;
  for (std::size_t Place = 0; Place < Given.Lists.size(); ++Place) {
    if (Given.Lists[Place].empty())
      continue;
    Text += std::string(Rows[FirstList - FirstText + Place].Key) + " = [";
    for (const std::string &Value : Given.Lists[Place])
      Text += quoted(Value) + ", ";
    Text += "]\n";
  }
  return Text;
}

std::vector<poptOption> optionTable() {
  std::vector<poptOption> Table{
      {"config", 'c', POPT_ARG_STRING, nullptr, ConfigOption, "settings, in TOML", "FILE"},
      {"check", '\0', POPT_ARG_NONE, nullptr, CheckOption, "check the settings and stop", nullptr},
      {"manual", '\0', POPT_ARG_NONE, nullptr, ManualOption, "print every setting and stop",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, "print the version and stop",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, "print this page and stop", nullptr}};
  for (int Option = FirstText; Option < OptionEnd; ++Option) {
    const option_row &Row = Rows[Option - FirstText];
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

result<given_options, exit_code> parseOptions(int Count, const char **Values) {
  const std::vector<poptOption> Table = optionTable();
  const context_holder Context(poptGetContext("pollenstall-load", Count, Values, Table.data(), 0));
  given_options Given;
  int Option = 0;
  while ((Option = poptGetNextOpt(Context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> Value(poptGetOptArg(Context.get()),
                                                            &std::free);
    if (Option == HelpOption) {
      std::cout << "pollenstall-load: sends requests, checks the answers, prints figures\n";
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
      Given.CheckOnly = true;
    else if (Option == ConfigOption)
      Given.ConfigFile = Value.get();
    else
      take(Given, Option, Value.get());
  }
  if (Option < -1 || poptPeekArg(Context.get())) {
    std::cerr << "pollenstall-load: " << poptBadOption(Context.get(), 0) << ": "
              << poptStrerror(Option) << "\n";
    return exit_code::BadUsage;
  }
  return Given;
}

std::string firstLine(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  return Line;
}

} // namespace

result<load_request, exit_code> readLoadOptions(int Count, const char **Values) {
  const auto Parsed = parseOptions(Count, Values);
  if (!succeeded(Parsed))
    return errorOf(Parsed);
  const given_options &Given = valueOf(Parsed);
  std::string Text = tomlOf(Given);
  std::string Source = "command line";
  if (!Given.ConfigFile.empty()) {
    std::ostringstream File;
    File << std::ifstream(Given.ConfigFile).rdbuf();
    // The file first, so that its lines keep their numbers; a key given twice is refused by TOML.
    Text = File.str() + "\n" + Text;
    Source = Given.ConfigFile;
  }
  auto Loaded = loadSettings().loadText(Text, Source);
  if (!succeeded(Loaded)) {
    std::cerr << toText(errorOf(Loaded));
    return exit_code::BadUsage;
  }
  load_request Request{std::move(valueOf(Loaded)), Given.CheckOnly};
  if (!Request.Settings.KeyFile.empty())
    Request.Settings.Key = firstLine(Request.Settings.KeyFile);
  return Request;
}

} // namespace pollenstall
