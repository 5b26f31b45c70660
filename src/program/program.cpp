/** @file program.cpp Parses the common command line with popt. */
#include "program/program_func.h"

#include <popt.h>

#include <iostream>
#include <memory>

namespace pollenstall {

namespace {

enum option_value : int { HelpOption = 1, VersionOption, ConfigOption, CheckOption, ManualOption };

struct context_deleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using context_holder = std::unique_ptr<poptContext_s, context_deleter>;

constexpr poptOption TableEnd{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr};

} // namespace

result<program_options, exit_code> readOptions(int Count, const char **Values,
                                               const program_description &Description) {
  char *Config = nullptr;
  const poptOption Table[] = {
      {"config", 'c', POPT_ARG_STRING, &Config, ConfigOption, "settings, in TOML", "FILE"},
      {"check", '\0', POPT_ARG_NONE, nullptr, CheckOption, "check the settings and stop", nullptr},
      {"manual", '\0', POPT_ARG_NONE, nullptr, ManualOption, "print every setting and stop",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, "print the version and stop",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, "print this page and stop", nullptr},
      TableEnd};
  const context_holder Context(poptGetContext(Description.Name.c_str(), Count, Values, Table, 0));
  program_options Options;
  int Option = 0;
  while ((Option = poptGetNextOpt(Context.get())) > 0) {
    switch (Option) {
    case HelpOption:
      std::cout << Description.Name << ": " << Description.Summary << "\n";
      poptPrintHelp(Context.get(), stdout, 0);
      return exit_code::Ok;
    case VersionOption:
      std::cout << Description.Name << " " << POLLENSTALL_VERSION << "\n";
      return exit_code::Ok;
    case ConfigOption:
      Options.ConfigFile = Config;
      free(Config); // popt passes ownership of the copy
      Config = nullptr;
      break;
    case CheckOption:
      Options.CheckOnly = true;
      break;
    default:
      Options.PrintManual = true;
    }
  }
  if (Option < -1) {
    std::cerr << Description.Name << ": " << poptBadOption(Context.get(), 0) << ": "
              << poptStrerror(Option) << "\n";
    return exit_code::BadUsage;
  }
  if (poptPeekArg(Context.get())) {
    std::cerr << Description.Name << ": unexpected argument " << poptPeekArg(Context.get()) << "\n";
    return exit_code::BadUsage;
  }
  if (Options.ConfigFile.empty() && !Options.PrintManual) {
    std::cerr << Description.Name << ": --config FILE is required; see --help\n";
    return exit_code::BadUsage;
  }
  return Options;
}

void printManualRow(const std::string &Key, const std::string &Allowed, const std::string &Default,
                    const std::string &Meaning) {
  std::cout << "| `" << Key << "` | " << Allowed << " | " << Default << " | " << Meaning << " |\n";
}

} // namespace pollenstall
