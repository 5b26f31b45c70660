/** @file sample_fleet_func.h Generates declarations, engines and requests that have the same
 * structure at each size. */
#ifndef POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H
#define POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H

#include "declaration/declaration.h"
#include "scheduling/scheduling.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace pollenstall::bench {

constexpr std::size_t ModelCount = 5; ///< Models in regular use at the design size.

/// Returns a declaration with one service of five models, a stable and a canary group per model,
/// one key per account, and a separate selector for every twentieth account.
fleet_declaration sampleDeclaration(std::size_t Accounts);

/// Returns the name of an account of sampleDeclaration().
client_account_name makeAccountName(std::size_t Index);

/// Returns a key hash in the format of a declaration.
std::string makeKeyHash(std::size_t Index);

/// Returns the view of an engine that runs one of the models.
backend_view makeEngineView(std::size_t Index, mono_time Now);

/// Returns a work item of the account Number % Accounts; one in fifty prompts is long.
work_item makeWorkItem(std::uint64_t Number, std::size_t Accounts, mono_time Now);

/// Returns the request of makeWorkItem() as the relay reports it.
request_facts makeRequestFacts(std::uint64_t Number, std::size_t Accounts, mono_time Now);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_SAMPLE_FLEET_FUNC_H
