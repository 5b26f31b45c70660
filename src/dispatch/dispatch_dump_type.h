/** @file dispatch_dump_type.h The dispatcher's state as plain values, without prompts or keys. */
#ifndef POLLENSTALL_DISPATCH_DISPATCH_DUMP_TYPE_H
#define POLLENSTALL_DISPATCH_DISPATCH_DUMP_TYPE_H

#include "dispatch/attempt_type.h"
#include "dispatch/dispatch_type.h"
#include "retry_budget/retry_budget_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace pollenstall {

/// What a request is waiting for.
enum class request_phase : std::uint8_t {
  Claiming,      ///< The claim on its key, if one is needed. Also the initial phase.
  Queued,        ///< A placement by the scheduler.
  Running,       ///< The answer of its attempt.
  AwaitingRetry, ///< A retry that the budget does not allow yet.
};

/// Counters since the start of the process.
struct dispatch_counters {
  std::uint64_t Arrived{0};
  std::uint64_t Complete{0};
  std::uint64_t NotRun{0};
  std::uint64_t Unknown{0};
  std::uint64_t Attempts{0};
  std::uint64_t Retries{0};
  std::uint64_t RetriesOverBudget{0}; ///< Retries that the budget refused.
  std::uint64_t Resumes{0};           ///< Resumes of broken answers.
  std::uint64_t Hedges{0};            ///< Attempts started beside a silent one.
  std::uint64_t Abandoned{0};         ///< Attempts abandoned while the backend server may run them.
  std::uint64_t CancelsSent{0};       ///< Includes repeated cancels.
  std::uint64_t IgnoredEvents{0};     ///< Late, duplicate or misrouted events.
};

/// One request that has no final answer yet.
struct request_dump {
  request_number Request;
  client_account_name Account;
  service_name Service;
  model_name Model;
  tokens Prompt;
  request_phase Phase{request_phase::Queued};
  std::uint32_t Attempts{0};
  bool MayHaveRun{false};
  std::optional<backend_key> Backend; ///< Backend server of the running attempt.
  std::optional<attempt_state> State; ///< State of the running attempt.
  std::chrono::milliseconds Remaining{0};
};

/// One abandoned attempt whose memory still counts as used.
struct abandoned_dump {
  attempt_id Attempt;
  backend_key Backend;
  std::uint32_t CancelsSent{0};
  std::chrono::milliseconds Age{0};
};

/// The complete state of a dispatcher.
struct dispatch_dump {
  bool Ready{false};
  bool ShuttingDown{false};
  dispatch_counters Counters;
  std::vector<retry_budget_status> RetryBudgets; ///< Empty if entries do not share a budget.
  std::vector<request_dump> Requests;
  std::vector<abandoned_dump> Abandoned;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCH_DUMP_TYPE_H
