/** @file answer_end.cpp Decides what the end of an answer proves. */
#include "relay/answer_end_func.h"

namespace pollenstall {

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
