/** @file load.h Public header of load: sends requests, checks answers, reports percentiles. */
#ifndef POLLENSTALL_LOAD_LOAD_H
#define POLLENSTALL_LOAD_LOAD_H

#include "load/answer_check_base.h" // IWYU pragma: export
#include "load/load_bound_func.h"   // IWYU pragma: export
#include "load/load_options_func.h" // IWYU pragma: export
#include "load/load_report_base.h"  // IWYU pragma: export
#include "load/load_run_func.h"     // IWYU pragma: export
#include "load/load_type.h"         // IWYU pragma: export

#endif // POLLENSTALL_LOAD_LOAD_H
