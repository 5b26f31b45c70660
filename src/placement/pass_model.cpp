/** @file pass_model.cpp Prefill and decode times of an engine. */
#include "placement/pass_model_func.h"

namespace pollenstall {

namespace {

constexpr double Thousand = 1e3;
constexpr double Million = 1e6;

} // namespace

double prefillMs(const engine_profile &Figures, tokens Prompt) {
  const auto Count = static_cast<double>(Prompt.value());
  const double Pairs = Count * Count / 2.0;
  return Count / Figures.PrefillTokensPerSecond * Thousand +
         Pairs / Million * Figures.MsPerMillionPairs;
}

double passMs(const engine_profile &Figures, std::uint32_t DecodingRequests, double Context) {
  if (DecodingRequests == 0)
    return 0;
  const double Step = Figures.StepMs + DecodingRequests * Figures.PerSequenceMs +
                      Context / Thousand * Figures.PerContextMs;
  return Figures.StepsPerPass * Step;
}

} // namespace pollenstall
