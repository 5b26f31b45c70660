/** @file control_services_func.h Connects an adapter's services to the decision thread. */
#ifndef POLLENSTALL_CONTROL_CONTROL_SERVICES_FUNC_H
#define POLLENSTALL_CONTROL_CONTROL_SERVICES_FUNC_H

#include "adapter/adapter.h"
#include "control_core_base.h"

#include <string>

namespace pollenstall {

/// @param Core Must outlive the services. @param OwnUrl URL of this host's operators' address.
control_services controlServices(control_core &Core, std::string OwnUrl);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_SERVICES_FUNC_H
