/** @file control_link.h Public header of control_link: the protocol between entries and control
 * hosts. */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_LINK_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_LINK_H

#include "control_link/claim_key_func.h"            // IWYU pragma: export
#include "control_link/control_link_base.h"         // IWYU pragma: export
#include "control_link/control_link_codec_func.h"   // IWYU pragma: export
#include "control_link/control_link_message_type.h" // IWYU pragma: export
#include "control_link/control_link_type.h"         // IWYU pragma: export
#include "control_link/declaration_lease_base.h"    // IWYU pragma: export
#include "control_link/readiness_deadline_base.h"   // IWYU pragma: export

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_H
