/** @file free_address_func.h Free addresses for the processes that a test starts. */
#ifndef POLLENSTALL_SUPPORT_FREE_ADDRESS_FUNC_H
#define POLLENSTALL_SUPPORT_FREE_ADDRESS_FUNC_H

#include <string>
#include <vector>

namespace pollenstall {

/// @return "IP:port" of addresses that were free at the call and that no other test process uses.
std::vector<std::string> freeTcpAddresses(std::size_t Count);
std::vector<std::string> freeUdpAddresses(std::size_t Count);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_FREE_ADDRESS_FUNC_H
