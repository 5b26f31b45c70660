/** @file main.cpp pollenstall-model: simulates a load file, with a JSON line per policy. */
#include "fleet_model/fleet_model.h"
#include "program/program.h"

#include <popt.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace pollenstall {
namespace {

constexpr const char *Program = "pollenstall-model";

struct context_deleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};

/// The parsed command line.
struct model_options {
  std::string LoadFile;
  std::string Policy{"all"};
  std::string PlotFile;
  int Seed{1};
  int Runs{4};
};

int fail(const std::string &Text) {
  std::cerr << Program << ": " << Text << "\n";
  return static_cast<int>(exit_code::BadUsage);
}

result<model_options, int> readModelOptions(int Count, const char **Values) {
  model_options Options;
  char *Policy = nullptr;
  char *Plot = nullptr;
  const poptOption Table[] = {
      {"seed", 's', POPT_ARG_INT, &Options.Seed, 0, "first seed (1)", "NUMBER"},
      {"seeds", 'n', POPT_ARG_INT, &Options.Runs, 0, "number of runs, with consecutive seeds (4)",
       "NUMBER"},
      {"policy", 'p', POPT_ARG_STRING, &Policy, 0,
       "placement, least_outstanding, power_of_two or all", "NAME"},
      {"plot", '\0', POPT_ARG_STRING, &Plot, 0,
       "write times to the first event of the first run with placement, for gnuplot", "FILE"},
      POPT_AUTOHELP{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, context_deleter> Context(
      poptGetContext(Program, Count, Values, Table, 0));
  poptSetOtherOptionHelp(Context.get(), "[OPTION...] LOAD.toml");
  const int PoptResult = poptGetNextOpt(Context.get());
  const std::unique_ptr<char, decltype(&std::free)> PolicyText(Policy, &std::free);
  const std::unique_ptr<char, decltype(&std::free)> PlotText(Plot, &std::free);
  if (PoptResult < -1)
    return fail(std::string(poptBadOption(Context.get(), 0)) + ": " + poptStrerror(PoptResult));
  const char *File = poptGetArg(Context.get());
  if (!File || poptPeekArg(Context.get()))
    return fail("exactly one load file is required; see --help");
  if (Options.Runs < 1 || Options.Seed < 0)
    return fail("--seeds must be 1 or more and --seed 0 or more");
  Options.LoadFile = File;
  if (PolicyText)
    Options.Policy = PolicyText.get();
  if (PlotText)
    Options.PlotFile = PlotText.get();
  return Options;
}

result<model_load, int> readLoad(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    return fail(File + ": cannot read the file");
  std::ostringstream Text;
  Text << Input.rdbuf();
  auto Parsed = parseModelLoad(Text.str());
  if (succeeded(Parsed))
    return valueOf(std::move(Parsed));
  for (const toml_error &Fault : errorOf(Parsed))
    std::cerr << File << ":" << Fault.Line << ": " << Fault.Key << " must be " << Fault.Allowed
              << "\n";
  return static_cast<int>(exit_code::BadUsage);
}

int simulateAll(const model_options &Options, const model_load &Load) {
  std::vector<named_model_policy> Policies = baselineModelPolicies();
  Policies.insert(Policies.begin(), placementPolicy());
  bool PolicyFound = false;
  for (const named_model_policy &Policy : Policies) {
    if (Options.Policy != "all" && Options.Policy != Policy.Name)
      continue;
    PolicyFound = true;
    const run_summary Summary = simulateLoad(Load, Policy, static_cast<std::uint64_t>(Options.Seed),
                                             static_cast<std::size_t>(Options.Runs));
    std::cout << toJson(Load, Summary) << std::endl;
  }
  if (!PolicyFound)
    return fail("--policy: no policy is named \"" + Options.Policy + "\"");
  if (Options.PlotFile.empty())
    return static_cast<int>(exit_code::Ok);
  std::ofstream Plot(Options.PlotFile);
  Plot << plotRows(
      Load,
      fleet_run(Load, placementPolicy(), static_cast<std::uint64_t>(Options.Seed)).simulate());
  return static_cast<int>(Plot ? exit_code::Ok : exit_code::Failure);
}

} // namespace
} // namespace pollenstall

int main(int Count, char **Values) {
  using namespace pollenstall;
  const auto Options = readModelOptions(Count, const_cast<const char **>(Values));
  if (!succeeded(Options))
    return errorOf(Options);
  const auto Load = readLoad(valueOf(Options).LoadFile);
  if (!succeeded(Load))
    return errorOf(Load);
  return simulateAll(valueOf(Options), valueOf(Load));
}
