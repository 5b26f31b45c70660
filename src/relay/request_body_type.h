/** @file request_body_type.h A request's body and its share of the memory for callers. */
#ifndef POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H
#define POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H

#include "intake/intake.h"

#include <memory>
#include <string>

namespace pollenstall {

/// The only copy of a body in this process.
struct request_body {
  std::string Text;
  std::unique_ptr<intake_share> Share; ///< Null if the body is not counted.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H
