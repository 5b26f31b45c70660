/** @file token_estimator_base.h Counts tokens of a prompt without a tokenizer. */
#ifndef POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H
#define POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H

#include "scheduling/cost_model_base.h"

#include <map>
#include <optional>

namespace pollenstall {

/**
 * Bytes per token, learnt for each model from what its engines counted. The number of models is
 * bounded, because a model's name may come from a caller.
 */
class token_estimator {
public:
  /**
   * @param Bytes Size of the prompt's text.
   * @param Hint The caller's own figure; believed only near the estimate, since a caller that
   * understates would pass for short work.
   * @return At least one token for a prompt that is not empty.
   */
  [[nodiscard]] tokens estimate(const model_name &Model, byte_count Bytes,
                                std::optional<tokens> Hint = std::nullopt) const;
  /// An engine told how many tokens a prompt of that size had.
  void observe(const model_name &Model, byte_count Bytes, tokens Counted);
  /// @return Bytes per token as learnt so far, or the prior.
  [[nodiscard]] double bytesPerToken(const model_name &Model) const;

private:
  std::map<model_name, bounded_estimate> ByModel;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_TOKEN_ESTIMATOR_BASE_H
