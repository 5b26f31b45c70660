/** @file claim.h Public header of claim: the replicated table of claimed idempotency keys. */
#ifndef POLLENSTALL_CLAIM_CLAIM_H
#define POLLENSTALL_CLAIM_CLAIM_H

#include "claim/claim_base.h" // IWYU pragma: export
#include "claim/claim_type.h" // IWYU pragma: export

#endif // POLLENSTALL_CLAIM_CLAIM_H
