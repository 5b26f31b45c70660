/** @file answer_end.cpp Decides what the end of an answer proves. */
#include "relay/answer_end_func.h"

namespace pollenstall {

namespace {

constexpr answer_verdict brokenOff(answer_end_reason Reason) {
  return {answer_end::BrokenOff, Reason};
}

answer_verdict judgeClosed(const answer_progress &Progress) {
  if (Progress.Framing != body_framing::Connection)
    return brokenOff(answer_end_reason::InsideMessage);
  if (Progress.UnfinishedBytes > 0)
    return brokenOff(answer_end_reason::InsideEvent);
  if (Progress.IsEventStream && Progress.Events == 0)
    return brokenOff(answer_end_reason::NoEvent);
  return {answer_end::Whole, answer_end_reason::ClosedConnection};
}

} // namespace

answer_verdict judgeAnswerEnd(const answer_progress &Progress) {
  if (Progress.MessageDone)
    return Progress.UnfinishedBytes > 0
               ? brokenOff(answer_end_reason::InsideEvent)
               : answer_verdict{answer_end::Whole, answer_end_reason::EndMark};
  switch (Progress.Connection) {
  case connection_end::Open:
    return {};
  case connection_end::Closed:
    return judgeClosed(Progress);
  case connection_end::Reset:
    return brokenOff(answer_end_reason::Reset);
  default:
    return brokenOff(answer_end_reason::Silence);
  }
}

std::string_view answerEndReasonText(answer_end_reason Reason) {
  switch (Reason) {
  case answer_end_reason::EndMark:
    return "end_mark";
  case answer_end_reason::ClosedConnection:
    return "closed_connection";
  case answer_end_reason::InsideMessage:
    return "inside_message";
  case answer_end_reason::InsideEvent:
    return "inside_event";
  case answer_end_reason::NoEvent:
    return "no_event";
  case answer_end_reason::Reset:
    return "reset";
  case answer_end_reason::Silence:
    return "silence";
  default:
    return "none";
  }
}

std::string_view bodyFramingText(body_framing Framing) {
  switch (Framing) {
  case body_framing::Empty:
    return "empty";
  case body_framing::Length:
    return "length";
  case body_framing::Chunked:
    return "chunked";
  default:
    return "connection";
  }
}

std::string_view connectionEndText(connection_end End) {
  switch (End) {
  case connection_end::Open:
    return "open";
  case connection_end::Closed:
    return "closed";
  case connection_end::Reset:
    return "reset";
  default:
    return "timed_out";
  }
}

} // namespace pollenstall
