/** @file main.cpp pollenstall-load: runs a load and prints the report as a JSON object. */
#include "load/load.h"
#include "program/program.h"

#include <algorithm>
#include <iostream>

int main(int Count, const char **Values) {
  using namespace pollenstall;
  const auto CommandLine = readLoadOptions(Count, Values);
  if (!succeeded(CommandLine))
    return static_cast<int>(errorOf(CommandLine));
  const load_settings &Settings = valueOf(CommandLine).Settings;
  if (valueOf(CommandLine).CheckOnly) {
    std::cout << "settings are valid\n";
    return static_cast<int>(exit_code::Ok);
  }
  const load_metrics Metrics = runLoad(Settings);
  std::cout << reportJson(Metrics, Settings.Bounds) << "\n";
  const bool AllHold = std::all_of(Settings.Bounds.begin(), Settings.Bounds.end(),
                                   [&Metrics](const std::string &BoundText) {
                                     const auto Bound = parseBound(BoundText);
                                     return Bound && boundHolds(*Bound, Metrics);
                                   });
  return static_cast<int>(AllHold ? exit_code::Ok : exit_code::Failure);
}
