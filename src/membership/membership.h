/** @file membership.h Public header of membership: which hosts and backend servers there are. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_H

#include "membership/load_digest_func.h"         // IWYU pragma: export
#include "membership/membership_action_type.h"   // IWYU pragma: export
#include "membership/membership_base.h"          // IWYU pragma: export
#include "membership/membership_message_type.h"  // IWYU pragma: export
#include "membership/membership_settings_type.h" // IWYU pragma: export
#include "membership/membership_type.h"          // IWYU pragma: export
#include "membership/record_func.h"              // IWYU pragma: export

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_H
