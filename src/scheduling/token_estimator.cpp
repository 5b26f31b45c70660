/** @file token_estimator.cpp Learned bytes per token, and hints limited to a range around them. */
#include "scheduling/token_estimator_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

constexpr double PriorBytesPerToken = 4.0;
constexpr double MinBytesPerToken = 1.0; ///< Byte-level fallback of common tokenizers.
constexpr double MaxBytesPerToken = 12.0;
constexpr double FullWeightBytes = 16'384.0; ///< Templates dominate shorter texts.
constexpr double HintTolerance = 1.5;        ///< Factor by which a hint may differ.
constexpr std::size_t MaxModels = 256;

} // namespace

double token_estimator::bytesPerToken(const model_name &Model) const {
  const auto Found = ByModel.find(Model);
  return Found == ByModel.end() ? PriorBytesPerToken : Found->second.value();
}

tokens token_estimator::estimate(const model_name &Model, byte_count Bytes,
                                 std::optional<tokens> Hint) const {
  if (Bytes.value() <= 0)
    return tokens(0);
  const double Own = static_cast<double>(Bytes.value()) / bytesPerToken(Model);
  double Count = Own;
  if (Hint)
    Count =
        std::clamp(static_cast<double>(Hint->value()), Own / HintTolerance, Own * HintTolerance);
  return tokens(std::max<std::int64_t>(1, std::llround(Count)));
}

void token_estimator::observe(const model_name &Model, byte_count Bytes, tokens Counted) {
  if (Bytes.value() <= 0 || Counted.value() <= 0)
    return;
  auto Found = ByModel.find(Model);
  if (Found == ByModel.end()) {
    if (ByModel.size() >= MaxModels)
      return;
    const bounded_estimate InitialEstimate(PriorBytesPerToken, MinBytesPerToken, MaxBytesPerToken);
    Found = ByModel.emplace(Model, InitialEstimate).first;
  }
  const auto Size = static_cast<double>(Bytes.value());
  Found->second.observe(Size / static_cast<double>(Counted.value()), Size / FullWeightBytes);
}

} // namespace pollenstall
