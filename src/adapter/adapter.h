/** @file adapter.h Public header of adapter: what the programs offer to an adapter of a platform.
 */
#ifndef POLLENSTALL_ADAPTER_ADAPTER_H
#define POLLENSTALL_ADAPTER_ADAPTER_H

#include "adapter/control_services_type.h" // IWYU pragma: export

#endif // POLLENSTALL_ADAPTER_ADAPTER_H
