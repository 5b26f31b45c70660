/** @file answer_check_base.h Says whether an answer is whole and the answer to its own prompt. */
#ifndef POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H
#define POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H

#include "load/load_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// Reads one answer of the stand-in, whose tokens carry the prompt's hash and their place.
class answer_check {
public:
  answer_check(std::uint64_t Hash, std::int64_t Asked) : PromptHash(Hash), AnswerTokens(Asked) {}

  /// Takes more bytes of a stream's body. @return Whether the first token came with them.
  bool addStream(std::string_view Bytes);
  /// @param InOrder Whether the body ended as HTTP says it must.
  [[nodiscard]] load_outcome streamOutcome(bool InOrder) const;
  /// Judges the body of an answer that was not streamed.
  [[nodiscard]] load_outcome wholeOutcome(std::string_view Body) const;
  /// Judges the body of an error.
  [[nodiscard]] static load_outcome errorOutcome(std::string_view Body);

  /// @return Events read so far.
  [[nodiscard]] std::int64_t events() const { return Events; }

private:
  void addEvent(std::string_view Event);
  void addData(std::string_view Data);

  std::uint64_t PromptHash;
  std::int64_t AnswerTokens;
  std::string Rest; ///< The beginning of an event whose end is still to come.
  std::int64_t Events{0};
  std::int64_t Tokens{0};
  std::int64_t LastId{0};
  bool Finished{false};
  bool UsageSeen{false};
  bool DoneSeen{false};
  bool Wrong{false};
  load_outcome ErrorSeen{load_outcome::Complete}; ///< Complete while no error event came.
};

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_ANSWER_CHECK_BASE_H
