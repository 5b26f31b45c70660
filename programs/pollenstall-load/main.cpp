/** @file main.cpp pollenstall-load: one run, one JSON object on standard output. */
#include "load/load.h"
#include "program/program.h"

#include <algorithm>
#include <iostream>

int main(int Count, const char **Values) {
  using namespace pollenstall;
  const auto Request = readLoadOptions(Count, Values);
  if (!succeeded(Request))
    return static_cast<int>(errorOf(Request));
  const load_settings &Settings = valueOf(Request).Settings;
  if (valueOf(Request).CheckOnly) {
    std::cout << "settings are valid\n";
    return static_cast<int>(exit_code::Ok);
  }
  const load_metrics Metrics = runLoad(Settings);
  std::cout << reportJson(Metrics, Settings.Bounds) << "\n";
  const bool Held = std::all_of(Settings.Bounds.begin(), Settings.Bounds.end(),
                                [&Metrics](const std::string &Text) {
                                  const auto Bound = parseBound(Text);
                                  return Bound && boundHolds(*Bound, Metrics);
                                });
  return static_cast<int>(Held ? exit_code::Ok : exit_code::Failure);
}
