/** @file main.cpp pollenstall-model: plays a load file on modelled engines, one JSON line a policy.
 */
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

/// What the command line asks for.
struct model_options {
  std::string LoadFile;
  std::string Policy{"all"};
  std::string PlotFile;
  int Seed{1};
  int Seeds{4};
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
      {"seeds", 'n', POPT_ARG_INT, &Options.Seeds, 0, "runs, with seeds that follow it (4)",
       "NUMBER"},
      {"policy", 'p', POPT_ARG_STRING, &Policy, 0,
       "placement, least_outstanding, power_of_two or all", "NAME"},
      {"plot", '\0', POPT_ARG_STRING, &Plot, 0,
       "write times to the first event of the first run under placement, for gnuplot", "FILE"},
      POPT_AUTOHELP{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, context_deleter> Context(
      poptGetContext(Program, Count, Values, Table, 0));
  poptSetOtherOptionHelp(Context.get(), "[OPTION...] LOAD.toml");
  const int Read = poptGetNextOpt(Context.get());
  const std::unique_ptr<char, decltype(&std::free)> PolicyText(Policy, &std::free);
  const std::unique_ptr<char, decltype(&std::free)> PlotText(Plot, &std::free);
  if (Read < -1)
    return fail(std::string(poptBadOption(Context.get(), 0)) + ": " + poptStrerror(Read));
  const char *File = poptGetArg(Context.get());
  if (!File || poptPeekArg(Context.get()))
    return fail("one load file is needed; see --help");
  if (Options.Seeds < 1 || Options.Seed < 0)
    return fail("--seeds takes 1 or more, --seed 0 or more");
  Options.LoadFile = File;
  if (PolicyText)
    Options.Policy = PolicyText.get();
  if (PlotText)
    Options.PlotFile = PlotText.get();
  return Options;
}

result<model_load, int> readLoad(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    return fail(File + ": can't be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  auto Parsed = parseModelLoad(Text.str());
  if (succeeded(Parsed))
    return valueOf(std::move(Parsed));
  for (const toml_error &Fault : errorOf(Parsed))
    std::cerr << File << ":" << Fault.Line << ": " << Fault.Key << " must be " << Fault.Allowed
              << "\n";
  return static_cast<int>(exit_code::BadUsage);
}

int playAll(const model_options &Options, const model_load &Load) {
  std::vector<named_model_policy> Policies = baselineModelPolicies();
  Policies.insert(Policies.begin(), placementPolicy());
  bool Played = false;
  for (const named_model_policy &Policy : Policies) {
    if (Options.Policy != "all" && Options.Policy != Policy.Name)
      continue;
    Played = true;
    const run_summary Summary = playLoad(Load, Policy, static_cast<std::uint64_t>(Options.Seed),
                                         static_cast<std::size_t>(Options.Seeds));
    std::cout << toJson(Load, Summary) << std::endl;
  }
  if (!Played)
    return fail("--policy: no policy is named \"" + Options.Policy + "\"");
  if (Options.PlotFile.empty())
    return static_cast<int>(exit_code::Ok);
  std::ofstream Plot(Options.PlotFile);
  Plot << plotRows(
      Load, fleet_run(Load, placementPolicy(), static_cast<std::uint64_t>(Options.Seed)).play());
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
  return playAll(valueOf(Options), valueOf(Load));
}
