/** @file program.h Public header of program: startup, logging and shutdown of a binary. */
#ifndef POLLENSTALL_PROGRAM_PROGRAM_H
#define POLLENSTALL_PROGRAM_PROGRAM_H

#include "program/log_func.h"         // IWYU pragma: export
#include "program/program_func.h"     // IWYU pragma: export
#include "program/program_type.h"     // IWYU pragma: export
#include "program/stop_signal_base.h" // IWYU pragma: export

#endif // POLLENSTALL_PROGRAM_PROGRAM_H
