/** @file dispatch.h Public header of dispatch: the lifecycle of each request at one entry. */
#ifndef POLLENSTALL_DISPATCH_DISPATCH_H
#define POLLENSTALL_DISPATCH_DISPATCH_H

#include "dispatch/dispatch_dump_type.h"        // IWYU pragma: export
#include "dispatch/dispatch_type.h"             // IWYU pragma: export
#include "dispatch/dispatcher_base.h"           // IWYU pragma: export
#include "dispatch/dispatcher_builder_base.h"   // IWYU pragma: export
#include "dispatch/dispatcher_callbacks_type.h" // IWYU pragma: export

#endif // POLLENSTALL_DISPATCH_DISPATCH_H
