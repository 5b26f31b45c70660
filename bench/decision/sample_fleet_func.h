/** @file sample_fleet_func.h A declaration, engines and requests of any size, alike at each size.
 */
#ifndef POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H
#define POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H

#include "declaration/declaration.h"
#include "scheduling/scheduling.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace pollenstall::bench {

constexpr std::size_t Models = 5; ///< In steady use, as the design size has it.

/// @return One service with five models, a stable and a canary group for each, accounts with a key
/// each, and a selector of its own for each twentieth account.
fleet_declaration sampleDeclaration(std::size_t Accounts);

/// @return The name of an account of sampleDeclaration().
client_account_name accountName(std::size_t Place);

/// @return A key hash as a declaration holds it.
std::string keyHash(std::size_t Place);

/// @return The view of an engine that runs one of the models.
backend_view sampleEngine(std::size_t Place, mono_time Now);

/// @return Work of the next account; one in fifty prompts is long.
work_item sampleWork(std::uint64_t Number, std::size_t Accounts, mono_time Now);

/// @return The same as the relay reports it.
request_facts sampleFacts(std::uint64_t Number, std::size_t Accounts, mono_time Now);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H
