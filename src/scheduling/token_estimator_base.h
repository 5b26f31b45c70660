/** @file token_estimator_base.h Estimates the tokens of a prompt without a tokenizer. */
#ifndef POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H
#define POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H

#include "scheduling/cost_model_base.h"

#include <map>
#include <optional>

namespace pollenstall {

/**
 * Learns the bytes per token of each model from the token counts of its engines. The number of
 * models is bounded, because a model name may come from a caller.
 */
class token_estimator {
public:
  /**
   * @param Bytes Size of the prompt text.
   * @param Hint Token count given by the caller. It is limited to a range around the estimate,
   * since a caller could understate it to pass as short work.
   * @return Estimated tokens; at least 1 unless the prompt is empty.
   */
  [[nodiscard]] tokens estimate(const model_name &Model, byte_count Bytes,
                                std::optional<tokens> Hint = std::nullopt) const;
  /// Records the token count that an engine reported for a prompt.
  void observe(const model_name &Model, byte_count Bytes, tokens Counted);
  /// Returns the learned bytes per token of the model, or the prior.
  [[nodiscard]] double bytesPerToken(const model_name &Model) const;

private:
  std::map<model_name, bounded_estimate> ByModel;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H
