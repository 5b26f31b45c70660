/** @file retry_budget.h Public header of retry_budget: how many retries an entry may start. */
#ifndef POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_H
#define POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_H

#include "retry_budget/retry_budget_base.h"        // IWYU pragma: export
#include "retry_budget/retry_budget_type.h"        // IWYU pragma: export
#include "retry_budget/shared_retry_budget_base.h" // IWYU pragma: export

#endif // POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_H
