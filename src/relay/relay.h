/** @file relay.h Public header of relay: the HTTP data plane of an entry. */
#ifndef POLLENSTALL_RELAY_RELAY_H
#define POLLENSTALL_RELAY_RELAY_H

#include "relay/answer_end_func.h"     // IWYU pragma: export
#include "relay/call_error_func.h"     // IWYU pragma: export
#include "relay/call_error_type.h"     // IWYU pragma: export
#include "relay/call_interface_type.h" // IWYU pragma: export
#include "relay/call_record_type.h"    // IWYU pragma: export
#include "relay/event_outbox_base.h"   // IWYU pragma: export
#include "relay/event_scanner_base.h"  // IWYU pragma: export
#include "relay/header_filter_func.h"  // IWYU pragma: export
#include "relay/prompt_facts_type.h"   // IWYU pragma: export
#include "relay/prompt_reader_func.h"  // IWYU pragma: export
#include "relay/relay_base.h"          // IWYU pragma: export
#include "relay/relay_type.h"          // IWYU pragma: export
#include "relay/request_head_func.h"   // IWYU pragma: export
#include "relay/request_head_type.h"   // IWYU pragma: export
#include "relay/retry_after_func.h"    // IWYU pragma: export
#include "relay/usage_func.h"          // IWYU pragma: export

#endif // POLLENSTALL_RELAY_RELAY_H
