/** @file answer_check.cpp Compares events as text and parses only those that differ. */
#include "fake_backend/fake_backend.h"
#include "load/answer_check_base.h"

#include <boost/json.hpp>

#include <charconv>

namespace pollenstall {

namespace {

constexpr std::string_view IdField = "id: ";
constexpr std::string_view DataField = "data: ";

const boost::json::value *memberOf(const boost::json::value *Value, std::string_view Key) {
  return Value && Value->is_object() ? Value->get_object().if_contains(Key) : nullptr;
}

} // namespace

bool answer_check::appendStream(std::string_view Bytes) {
  const bool HadToken = Tokens > 0;
  PartialEvent += Bytes;
  std::size_t Begin = 0;
  for (auto End = PartialEvent.find("\n\n"); End != std::string::npos;
       End = PartialEvent.find("\n\n", Begin)) {
    addEvent(std::string_view(PartialEvent).substr(Begin, End - Begin));
    Begin = End + 2;
  }
  PartialEvent.erase(0, Begin);
  return !HadToken && Tokens > 0;
}

void answer_check::addEvent(std::string_view Event) {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    const std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.starts_with(IdField)) {
      std::int64_t Id = 0;
      std::from_chars(Line.data() + IdField.size(), Line.data() + Line.size(), Id);
      Mismatch = Mismatch || Id != LastId + 1;
      LastId = Id;
    } else if (Line.starts_with(DataField)) {
      addData(Line.substr(DataField.size()));
    }
  }
}

void answer_check::addData(std::string_view Data) {
  ++Events;
  if (DoneSeen) {
    Mismatch = true;
    return;
  }
  if (Data == "[DONE]") {
    DoneSeen = true;
    return;
  }
  if (Data.find("\"" + answerToken(PromptHash, Tokens) + "\"") != std::string_view::npos) {
    ++Tokens;
    Mismatch = Mismatch || Finished;
    return;
  }
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Data, Error);
  if (Error) {
    Mismatch = true;
    return;
  }
  if (memberOf(&Value, "error")) {
    ErrorSeen = errorOutcome(Data);
    return;
  }
  const boost::json::value *Choices = memberOf(&Value, "choices");
  if (!Choices || !Choices->is_array()) {
    Mismatch = true;
    return;
  }
  const boost::json::value *Usage = memberOf(&Value, "usage");
  UsageSeen = UsageSeen || (Usage && Usage->is_object());
  if (Choices->get_array().empty())
    return;
  const boost::json::value &Choice = Choices->get_array()[0];
  const boost::json::value *Reason = memberOf(&Choice, "finish_reason");
  Finished = Finished || (Reason && Reason->is_string());
  const boost::json::value *Content = memberOf(memberOf(&Choice, "delta"), "content");
  if (!Content)
    Content = memberOf(&Choice, "text");
  // The token is not the next one of this answer: one was lost, repeated or is from another answer.
  Mismatch = Mismatch || (Content && Content->is_string() && !Content->get_string().empty());
}

load_outcome answer_check::streamOutcome(bool EndedCleanly) const {
  if (Mismatch)
    return load_outcome::Wrong;
  if (ErrorSeen != load_outcome::Complete)
    return ErrorSeen;
  if (!DoneSeen || !EndedCleanly)
    return load_outcome::Cut;
  const bool IsComplete = Finished && UsageSeen && Tokens == AnswerTokens;
  return IsComplete ? load_outcome::Complete : load_outcome::Wrong;
}

load_outcome answer_check::nonStreamedOutcome(std::string_view Body) const {
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Body, Error);
  const boost::json::value *Choices = Error ? nullptr : memberOf(&Value, "choices");
  if (!Choices || !Choices->is_array() || Choices->get_array().size() != 1)
    return load_outcome::Wrong;
  const boost::json::value &Choice = Choices->get_array()[0];
  const boost::json::value *Content = memberOf(memberOf(&Choice, "message"), "content");
  if (!Content)
    Content = memberOf(&Choice, "text");
  std::string Expected;
  for (std::int64_t Index = 0; Index < AnswerTokens; ++Index)
    Expected += answerToken(PromptHash, Index);
  const bool Matches = Content && Content->is_string() && Content->get_string() == Expected;
  return Matches && memberOf(&Value, "usage") ? load_outcome::Complete : load_outcome::Wrong;
}

load_outcome answer_check::errorOutcome(std::string_view Body) {
  boost::json::error_code ParseError;
  const boost::json::value Value = boost::json::parse(Body, ParseError);
  if (ParseError)
    return load_outcome::Unknown;
  const boost::json::value *Outcome = memberOf(memberOf(&Value, "error"), "outcome");
  const bool NotRun = Outcome && Outcome->is_string() && Outcome->get_string() == "not-run";
  return NotRun ? load_outcome::NotRun : load_outcome::Unknown;
}

} // namespace pollenstall
