/** @file random_test.cpp Randomised simulations of two entries, three engines and a claim table. */
#include "dispatch_simulation.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace pollenstall {
namespace {

constexpr std::uint64_t DefaultFirstSeed = 1;
constexpr std::uint64_t DefaultSeeds = 4'000;

std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

/// The seed of the current run, printed when a failed invariant aborts the process.
volatile std::uint64_t CurrentSeed = 0;

void printSeed(int /*Signal*/) { std::cerr << "failing seed " << CurrentSeed << std::endl; }

// Callers send idempotent and non-idempotent work and resend it to other entries under the same
// key. Connections, cancels, claims and entries are lost; answers arrive late, twice or on another
// connection; engines restart. Non-idempotent work must run at most once, "not run" must be true,
// each request must end once, only complete answers may be reported as complete, and no engine may
// keep memory after the end.
TEST(RandomisedDispatch, KeepsItsInvariantsInEverySchedule) {
  const std::uint64_t First = setting("POLLENSTALL_FIRST_SEED", DefaultFirstSeed);
  const std::uint64_t Seeds = setting("POLLENSTALL_SEEDS", DefaultSeeds);
  std::signal(SIGABRT, printSeed);
  std::uint64_t Steps = 0;
  dispatch_counters Sum;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    CurrentSeed = Seed;
    dispatch_simulation World(Seed);
    for (const std::string &Violation : World.run())
      ADD_FAILURE() << "failing seed " << Seed << ": " << Violation;
    Steps += World.steps();
    Sum.Complete += World.totals().Complete;
    Sum.NotRun += World.totals().NotRun;
    Sum.Unknown += World.totals().Unknown;
    Sum.Retries += World.totals().Retries;
    Sum.Resumes += World.totals().Resumes;
    Sum.Abandoned += World.totals().Abandoned;
  }
  std::signal(SIGABRT, SIG_DFL);
  std::cout << "dispatch: schedules " << Seeds << " steps " << Steps << " first seed " << First
            << "; complete " << Sum.Complete << " not-run " << Sum.NotRun << " unknown "
            << Sum.Unknown << " retries " << Sum.Retries << " resumes " << Sum.Resumes
            << " abandoned " << Sum.Abandoned << "\n";
  EXPECT_GT(Sum.Complete * Sum.NotRun * Sum.Unknown * Sum.Retries * Sum.Resumes * Sum.Abandoned, 0U)
      << "the simulated schedules no longer cover every case";
}

} // namespace
} // namespace pollenstall
