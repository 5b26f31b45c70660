/** @file ctl_options.cpp Parses the command line with popt. */
#include "ctl_options_func.h"

#include "core/core.h"
#include "table/verbs.h"

#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>

namespace pollenstall {

namespace {

enum option_value : int {
  ControlOption = 1,
  KeyFileOption,
  TimeoutOption,
  ConfigOption,
  CheckOption,
  JsonOption,
  WaitOption,
  UndoOption,
  BaseRevisionOption,
  ChangeIdOption,
  TargetOption,
  AccountOption,
  ServiceOption,
  ModelOption,
  TokensOption,
  HeaderOption,
  FileOption,
  ManualOption,
  VersionOption,
  HelpOption
};

struct context_deleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using context_holder = std::unique_ptr<poptContext_s, context_deleter>;

constexpr std::int64_t MaxTimeoutSeconds = 86'400;
constexpr std::size_t MaxChangeIdSize = 128;

poptOption textOption(const char *Name, option_value Value, const char *Help,
                      const char *ValueName) {
  return {Name, '\0', POPT_ARG_STRING, nullptr, Value, Help, ValueName};
}

poptOption flagOption(const char *Name, option_value Value, const char *Help) {
  return {Name, '\0', POPT_ARG_NONE, nullptr, Value, Help, nullptr};
}

const poptOption *optionTable() {
  static const poptOption Table[] = {
      textOption("control", ControlOption, "operator API URLs of the control hosts",
                 "URL[,URL...]"),
      textOption("key-file", KeyFileOption, "file with the operators' bearer key", "FILE"),
      textOption("timeout", TimeoutOption, "time limit for the whole command in seconds (20)",
                 "SECONDS"),
      textOption("config", ConfigOption, "TOML settings file: control, key_file, timeout_ms",
                 "FILE"),
      flagOption("check", CheckOption, "check the settings and exit"),
      flagOption("json", JsonOption, "print JSON"),
      flagOption("wait", WaitOption, "apply: until the change is in force everywhere"),
      flagOption("undo", UndoOption, "drain: resume new work on the backend server"),
      textOption("base-revision", BaseRevisionOption,
                 "apply: the revision that the change was made against", "N"),
      textOption("change-id", ChangeIdOption, "apply, drain: the change id of an earlier attempt",
                 "ID"),
      textOption("target", TargetOption, "dump: operator API URL of the process", "URL"),
      textOption("account", AccountOption, "explain: client account", "NAME"),
      textOption("service", ServiceOption, "explain: service", "NAME"),
      textOption("model", ModelOption, "explain: model, instead of the service", "NAME"),
      textOption("tokens", TokensOption, "explain: length of the prompt", "N"),
      textOption("header", HeaderOption, "explain: a header; may be repeated", "NAME=VALUE"),
      textOption("file", FileOption, "explain: a file to use instead of the declaration in force",
                 "FILE"),
      flagOption("manual", ManualOption, "print every setting and exit"),
      {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, "print the version and exit",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, "print this page and exit", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  return Table;
}

std::optional<std::int64_t> parseNumberUpTo(const std::string &Text, std::int64_t Max) {
  const auto Value = parseNumber<std::int64_t>(Text);
  return Value && *Value >= 0 && *Value <= Max ? Value : std::nullopt;
}

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Input(Text);
  for (std::string Part; std::getline(Input, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

/// The parsed command line.
struct command_line {
  ctl_options Options;
  std::string ConfigFile;
  bool CheckOnly{false};
  bool HasTimeout{false};
};

/// Stores the value of an option. @return A description of valid values if the value is invalid.
using option_setter =
    std::function<std::optional<std::string>(command_line &, const std::string &)>;

/// Returns a setter for an option that accepts any text.
template <typename SetFunction> option_setter anyTextSetter(SetFunction Setter) {
  return [Setter](command_line &Line, const std::string &Text) -> std::optional<std::string> {
    Setter(Line, Text);
    return std::nullopt;
  };
}

std::optional<std::string> setTimeout(command_line &Line, const std::string &Text) {
  const auto Seconds = parseNumberUpTo(Text, MaxTimeoutSeconds);
  if (!Seconds || *Seconds == 0)
    return "a whole number of seconds from 1 to " + std::to_string(MaxTimeoutSeconds);
  Line.Options.Timeout = std::chrono::seconds(*Seconds);
  Line.HasTimeout = true;
  return std::nullopt;
}

std::optional<std::string> setBaseRevision(command_line &Line, const std::string &Text) {
  const auto Number = parseNumberUpTo(Text, INT64_MAX);
  if (!Number)
    return "a revision, as status and plan print it";
  Line.Options.BaseRevision = revision(static_cast<std::uint64_t>(*Number));
  return std::nullopt;
}

std::optional<std::string> setTokens(command_line &Line, const std::string &Text) {
  const auto Number = parseNumberUpTo(Text, INT64_MAX);
  if (!Number)
    return "a whole number from 0";
  Line.Options.Request.Prompt = tokens(*Number);
  return std::nullopt;
}

std::optional<std::string> setHeader(command_line &Line, const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos || Equals == 0)
    return "NAME=VALUE";
  Line.Options.Request.Headers.emplace_back(Text.substr(0, Equals), Text.substr(Equals + 1));
  return std::nullopt;
}

std::optional<std::string> setChangeId(command_line &Line, const std::string &Text) {
  const auto IsVisible = [](char C) { return C > ' ' && C <= '~'; };
  if (Text.empty() || Text.size() > MaxChangeIdSize ||
      !std::all_of(Text.begin(), Text.end(), IsVisible))
    return "1 to 128 visible ASCII characters";
  Line.Options.ChangeId = Text;
  return std::nullopt;
}

const std::map<int, option_setter> &optionSetters() {
  static const std::map<int, option_setter> Setters = {
      {ControlOption, anyTextSetter([](command_line &L, const std::string &T) {
         L.Options.ControlUrls = splitAtCommas(T);
       })},
      {KeyFileOption,
       anyTextSetter([](command_line &L, const std::string &T) { L.Options.KeyFile = T; })},
      {TimeoutOption, setTimeout},
      {ConfigOption,
       anyTextSetter([](command_line &L, const std::string &T) { L.ConfigFile = T; })},
      {CheckOption,
       anyTextSetter([](command_line &L, const std::string &) { L.CheckOnly = true; })},
      {JsonOption,
       anyTextSetter([](command_line &L, const std::string &) { L.Options.Json = true; })},
      {WaitOption,
       anyTextSetter([](command_line &L, const std::string &) { L.Options.Wait = true; })},
      {UndoOption,
       anyTextSetter([](command_line &L, const std::string &) { L.Options.Undo = true; })},
      {BaseRevisionOption, setBaseRevision},
      {ChangeIdOption, setChangeId},
      {TargetOption,
       anyTextSetter([](command_line &L, const std::string &T) { L.Options.Target = T; })},
      {AccountOption, anyTextSetter([](command_line &L, const std::string &T) {
         L.Options.Request.Account = client_account_name(T);
       })},
      {ServiceOption, anyTextSetter([](command_line &L, const std::string &T) {
         L.Options.Request.Service = service_name(T);
       })},
      {ModelOption, anyTextSetter([](command_line &L, const std::string &T) {
         L.Options.Request.Model = model_name(T);
       })},
      {TokensOption, setTokens},
      {HeaderOption, setHeader},
      {FileOption,
       anyTextSetter([](command_line &L, const std::string &T) { L.Options.File = T; })}};
  return Setters;
}

ctl_exit usageError(const std::string &Message) {
  std::cerr << "pollenstallctl: " << Message << "\n";
  return ctl_exit::BadUsage;
}

void printHelp(poptContext Context) {
  std::cout << "pollenstallctl: the operators' tool\n\nVerbs:\n";
  for (const verb_row &Verb : Verbs)
    std::cout << "  " << Verb.Name << " " << Verb.Usage << "\n      " << Verb.Summary << "\n";
  std::cout
      << "\nExit codes: 0 done; 1 refused or failed, nothing changed; 2 command line, settings "
         "or unreadable file;\n  3 conflict with another change; 4 outcome unknown: resend "
         "with the same change id;\n  5 no control host reachable; 6 accepted, but not in "
         "force everywhere in time\n\n"
      << std::flush;
  poptPrintHelp(Context, stdout, 0);
}

void printManual() {
  for (const auto &Row : ctlSettingsTable().rows())
    std::cout << "| `" << Row.Key << "` | " << Row.Allowed << " | " << Row.Default << " | "
              << Row.Meaning << " |\n";
}

/// Returns the value of the last parsed option. The caller of poptGetOptArg() owns and frees it.
std::string optionValue(poptContext Context) {
  char *Value = poptGetOptArg(Context);
  std::string Text = Value ? Value : "";
  std::free(Value);
  return Text;
}

result<command_line, ctl_exit> parseCommandLine(poptContext Context) {
  command_line Line;
  int Option = 0;
  while ((Option = poptGetNextOpt(Context)) > 0) {
    if (Option == HelpOption) {
      printHelp(Context);
      return ctl_exit::Ok;
    }
    if (Option == ManualOption) {
      printManual();
      return ctl_exit::Ok;
    }
    if (Option == VersionOption) {
      std::cout << "pollenstallctl " << POLLENSTALL_VERSION << "\n";
      return ctl_exit::Ok;
    }
    const std::string Value = optionValue(Context);
    if (const auto Allowed = optionSetters().at(Option)(Line, Value))
      return usageError("\"" + Value + "\": allowed: " + *Allowed);
  }
  if (Option < -1)
    return usageError(std::string(poptBadOption(Context, 0)) + ": " + poptStrerror(Option));
  while (const char *Word = poptGetArg(Context)) {
    if (Line.Options.Verb.empty())
      Line.Options.Verb = Word;
    else
      Line.Options.Arguments.emplace_back(Word);
  }
  return Line;
}

/// Sets options that the command line leaves unset from the settings file.
result<done, ctl_exit> readConfig(command_line &Line) {
  if (Line.ConfigFile.empty())
    return done{};
  const auto Loaded = ctlSettingsTable().load(Line.ConfigFile);
  if (!succeeded(Loaded)) {
    std::cerr << toText(errorOf(Loaded));
    return ctl_exit::BadUsage;
  }
  const ctl_settings &Settings = valueOf(Loaded);
  if (!Line.HasTimeout)
    Line.Options.Timeout = Settings.Timeout;
  if (Line.Options.ControlUrls.empty())
    Line.Options.ControlUrls = Settings.ControlUrls;
  if (Line.Options.KeyFile.empty())
    Line.Options.KeyFile = Settings.KeyFile;
  return done{};
}

result<done, ctl_exit> checkVerb(const ctl_options &Options) {
  for (const verb_row &Verb : Verbs) {
    if (Options.Verb != Verb.Name)
      continue;
    if (Options.Arguments.size() != Verb.Arguments)
      return usageError("usage: pollenstallctl " + Options.Verb + " " + Verb.Usage);
    return done{};
  }
  std::string Names;
  for (const verb_row &Verb : Verbs)
    Names += std::string(Names.empty() ? "" : ", ") + Verb.Name;
  return usageError((Options.Verb.empty() ? "a verb is required" : Options.Verb) +
                    "; allowed: " + Names);
}

} // namespace

result<ctl_options, ctl_exit> readCtlOptions(int Count, const char **Values) {
  const context_holder Context(poptGetContext("pollenstallctl", Count, Values, optionTable(), 0));
  poptSetOtherOptionHelp(Context.get(), "[OPTION...] VERB [ARGUMENT]");
  auto Line = parseCommandLine(Context.get());
  if (!succeeded(Line))
    return errorOf(Line);
  if (const auto Read = readConfig(valueOf(Line)); !succeeded(Read))
    return errorOf(Read);
  if (valueOf(Line).CheckOnly) {
    std::cout << "settings are valid\n";
    return ctl_exit::Ok;
  }
  if (const auto Checked = checkVerb(valueOf(Line).Options); !succeeded(Checked))
    return errorOf(Checked);
  return valueOf(std::move(Line)).Options;
}

} // namespace pollenstall
