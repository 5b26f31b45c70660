/** @file verb_func.h The functions that run the verbs; each has its own file. */
#ifndef POLLENSTALL_POLLENSTALLCTL_VERB_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_VERB_FUNC_H

#include "ctl_type.h"

namespace pollenstall {

verb_result runValidate(const ctl_options &Options);    ///< Validates a declaration file.
verb_result runPlan(const ctl_options &Options);        ///< Compares a file with control.
verb_result runApply(const ctl_options &Options);       ///< Sends a file as a change.
verb_result runStatus(const ctl_options &Options);      ///< Prints control's view of the fleet.
verb_result runHistory(const ctl_options &Options);     ///< Lists accepted changes.
verb_result runDrain(const ctl_options &Options);       ///< Drains a backend server, or undoes it.
verb_result runEvacuate(const ctl_options &Options);    ///< Evacuates a failure domain.
verb_result runRestore(const ctl_options &Options);     ///< Restores a failure domain.
verb_result runEvacuations(const ctl_options &Options); ///< Lists evacuated failure domains.
verb_result runMember(const ctl_options &Options);      ///< Admits or removes a control host.
verb_result runSuspects(const ctl_options &Options);    ///< Lists requests that crash servers.
verb_result runUnblock(const ctl_options &Options);     ///< Allows a blocked request to run.
verb_result runDump(const ctl_options &Options);        ///< Prints the state of one process.
verb_result runExplain(const ctl_options &Options);     ///< Prints how a request would be routed.

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_VERB_FUNC_H
