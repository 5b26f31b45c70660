/** @file workload.cpp Generates a mix of prompts of 1,000 to 1,000,000 tokens. */
#include "workload_type.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pollenstall::bench {
namespace {

constexpr double LongFraction = 0.02; ///< One in fifty prompts has at least 100,000 tokens.
constexpr double MediumFraction = 0.28;
constexpr double ShortMin = 1'000;
constexpr double MediumMin = 8'000;
constexpr double LongMin = 100'000;
constexpr double LongMax = 1'000'000;
constexpr double MediumTail = 1.5;
constexpr double LongTail = 1.2;
constexpr double MeanAnswer = 200;
constexpr std::int64_t MaxAnswer = 600;
constexpr std::array<double, LengthClassCount> ClassTimeLimits{60, 120, 400};
constexpr std::array<double, AccountCount> AccountShares{0.30, 0.20, 0.15, 0.05, 0.05,
                                                         0.05, 0.05, 0.05, 0.05, 0.05};
/// Fraction of requests that share a prefix with others of the account.
constexpr double SharedPrefixFraction = 0.4;
constexpr std::uint64_t PrefixesPerAccount = 4;
constexpr std::int64_t PrefixLength = 1'024;
constexpr double BurstPeriod = 60;
constexpr double BurstSeconds = 6;
constexpr double BurstFactor = 3;
constexpr std::size_t CalibrationDraws = 40'000;

/// Draws from a bounded Pareto distribution.
double boundedPareto(random_source &Random, double Min, double Max, double Tail) {
  const double Ratio = std::pow(Min / Max, Tail);
  return Min / std::pow(1.0 - Random.uniform() * (1.0 - Ratio), 1.0 / Tail);
}

double exponential(random_source &Random, double Mean) {
  return -Mean * std::log(1.0 - Random.uniform());
}

void drawLengths(random_source &Random, sim_request &Request) {
  const double LengthDraw = Random.uniform();
  if (LengthDraw < LongFraction) {
    Request.Class = length_class::Long;
    Request.Prompt = static_cast<std::int64_t>(boundedPareto(Random, LongMin, LongMax, LongTail));
  } else if (LengthDraw < LongFraction + MediumFraction) {
    Request.Class = length_class::Medium;
    Request.Prompt =
        static_cast<std::int64_t>(boundedPareto(Random, MediumMin, LongMin, MediumTail));
  } else {
    Request.Class = length_class::Short;
    Request.Prompt =
        static_cast<std::int64_t>(ShortMin * std::pow(MediumMin / ShortMin, Random.uniform()));
  }
  Request.AnswerLimit = MaxAnswer;
  const double Answer = 20 + exponential(Random, MeanAnswer - 20);
  Request.Answer = std::min(MaxAnswer, static_cast<std::int64_t>(Answer));
  Request.TimeLimitSeconds = ClassTimeLimits[static_cast<std::size_t>(Request.Class)];
}

/// Returns the mean engine seconds per request. Requests that do not fit an engine count as 0. Uses
/// a separate random source with a fixed seed.
double meanSeconds(const engine_settings &Engine) {
  random_source Random(1);
  double Total = 0;
  for (std::size_t Draw = 0; Draw < CalibrationDraws; ++Draw) {
    sim_request Request;
    drawLengths(Random, Request);
    if (Request.Prompt + Request.AnswerLimit <= Engine.MemoryTokens)
      Total += engineSeconds(Engine, Request.Prompt, Request.Answer);
  }
  return Total / static_cast<double>(CalibrationDraws);
}

std::size_t drawAccount(random_source &Random, const run_settings &Run) {
  if (Run.EqualAccounts) {
    const double Total = Run.FloodFactor + static_cast<double>(AccountCount - 1);
    const double Draw = Random.uniform() * Total;
    return Draw < Run.FloodFactor ? 0
                                  : 1 + static_cast<std::size_t>(Random.below(AccountCount - 1));
  }
  double Draw = Random.uniform();
  for (std::size_t Account = 0; Account < AccountCount; ++Account) {
    if (Draw < AccountShares[Account])
      return Account;
    Draw -= AccountShares[Account];
  }
  return AccountCount - 1;
}

/// Returns the ratio of the arrival rate at Time to the mean rate.
double burstFactor(const run_settings &Run, double Time) {
  if (!Run.Bursts)
    return 1.0;
  if (std::fmod(Time, BurstPeriod) >= BurstPeriod - BurstSeconds)
    return BurstFactor;
  return (BurstPeriod - BurstFactor * BurstSeconds) / (BurstPeriod - BurstSeconds);
}

} // namespace

double engineSeconds(const engine_settings &Engine, std::int64_t Prompt, std::int64_t Answer) {
  const double Chunks = static_cast<double>(Prompt) / static_cast<double>(Engine.ChunkTokens);
  return static_cast<double>(Prompt) * Engine.PrefillSeconds + Chunks * Engine.BaseSeconds +
         static_cast<double>(Answer) * Engine.DecodeSeconds;
}

std::vector<sim_request> makeWorkload(const run_settings &Run) {
  random_source Random(combineHashes(Run.Seed, 17));
  const double Flood =
      Run.EqualAccounts ? (Run.FloodFactor + static_cast<double>(AccountCount - 1)) / AccountCount
                        : 1.0;
  const double Rate = Run.Load * Flood * static_cast<double>(Run.Engines) / meanSeconds(Run.Engine);
  std::vector<sim_request> Requests;
  double Time = 0;
  for (;;) {
    Time += exponential(Random, 1.0 / (Rate * burstFactor(Run, Time)));
    if (Time >= Run.Seconds)
      return Requests;
    sim_request Request;
    Request.Arrived = Time;
    drawLengths(Random, Request);
    Request.Entry = static_cast<std::size_t>(Random.below(Run.Entries));
    Request.Account = drawAccount(Random, Run);
    Request.Prefix = combineHashes(Run.Seed, Requests.size() + 1'000);
    const bool SharesPrefix = Random.chance(SharedPrefixFraction);
    const std::uint64_t PrefixIndex = Random.below(PrefixesPerAccount);
    if (SharesPrefix && Request.Prompt > PrefixLength) {
      Request.Prefix = Request.Account * PrefixesPerAccount + PrefixIndex;
      Request.PrefixTokens = PrefixLength;
    }
    // Long requests are drawn even if they are dropped, so that the other requests stay the same.
    if (Run.LongWork || Request.Class != length_class::Long)
      Requests.push_back(Request);
  }
}

fleet_declaration makeDeclaration(const run_settings &Run) {
  fleet_declaration Declaration;
  Declaration.Groups.push_back({group_name("all"), service_name("llm"), {}});
  for (std::size_t Account = 0; Account < AccountCount; ++Account)
    Declaration.Accounts.push_back(
        {client_account_name("account-" + std::to_string(Account)), {}, 1, 256});
  Declaration.Policy = Run.Policy;
  return Declaration;
}

} // namespace pollenstall::bench
