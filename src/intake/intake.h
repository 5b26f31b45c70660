/** @file intake.h Public header of intake: the memory of messages that peers send. */
#ifndef POLLENSTALL_INTAKE_INTAKE_H
#define POLLENSTALL_INTAKE_INTAKE_H

#include "intake/intake_account_base.h" // IWYU pragma: export

#endif // POLLENSTALL_INTAKE_INTAKE_H
