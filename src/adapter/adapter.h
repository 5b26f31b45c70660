/** @file adapter.h Public header of adapter: services of the programs for a platform adapter. */
#ifndef POLLENSTALL_ADAPTER_ADAPTER_H
#define POLLENSTALL_ADAPTER_ADAPTER_H

#include "adapter/control_services_type.h" // IWYU pragma: export

#endif // POLLENSTALL_ADAPTER_ADAPTER_H
