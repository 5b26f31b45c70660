/** @file answer_check_base.h Checks that an answer is complete and belongs to its prompt. */
#ifndef POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H
#define POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H

#include "load/load_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// Checks one answer of the fake backend, whose tokens contain the prompt's hash and their index.
class answer_check {
public:
  answer_check(std::uint64_t ExpectedHash, std::int64_t ExpectedTokens)
      : PromptHash(ExpectedHash), AnswerTokens(ExpectedTokens) {}

  /// Parses more bytes of a stream's body. @return Whether they contained the first token.
  bool appendStream(std::string_view Bytes);
  /// Returns the outcome of a stream. @param EndedCleanly Whether the HTTP body was complete.
  [[nodiscard]] load_outcome streamOutcome(bool EndedCleanly) const;
  /// Returns the outcome of the body of a non-streamed answer.
  [[nodiscard]] load_outcome nonStreamedOutcome(std::string_view Body) const;
  /// Returns the outcome that the body of an error response reports.
  [[nodiscard]] static load_outcome errorOutcome(std::string_view Body);

  /// @return The number of events parsed.
  [[nodiscard]] std::int64_t events() const { return Events; }

private:
  void addEvent(std::string_view Event);
  void addData(std::string_view Data);

  std::uint64_t PromptHash;
  std::int64_t AnswerTokens;
  std::string PartialEvent; ///< The beginning of an incomplete event.
  std::int64_t Events{0};
  std::int64_t Tokens{0};
  std::int64_t LastId{0};
  bool Finished{false};
  bool UsageSeen{false};
  bool DoneSeen{false};
  bool Mismatch{false};
  load_outcome ErrorSeen{load_outcome::Complete}; ///< Complete until an error event was parsed.
};

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H
