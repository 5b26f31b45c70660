/** @file verbs.h The table of verbs and their arguments. */
#ifndef POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H
#define POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H

#include "verb_func.h"

#include <array>
#include <cstddef>

namespace pollenstall {

/// A verb of the command line.
struct verb_row {
  const char *Name;
  std::size_t Arguments; ///< Number of words after the verb.
  const char *Usage;
  const char *Summary;
  verb_result (*Run)(const ctl_options &Options);
};

inline constexpr std::size_t VerbCount = 14;
inline constexpr std::array<verb_row, VerbCount> Verbs{{
    {"validate", 1, "FILE", "check a declaration", runValidate},
    {"plan", 1, "FILE", "show what applying the file would change", runPlan},
    {"apply", 1, "FILE [--base-revision N] [--change-id ID] [--wait]", "apply a declaration",
     runApply},
    {"status", 0, "", "show the leader, members, entries and backend servers", runStatus},
    {"history", 0, "", "list the accepted changes", runHistory},
    {"drain", 1, "IP:PORT [--undo] [--change-id ID]", "stop or resume new work on a backend server",
     runDrain},
    {"evacuate", 1, "DOMAIN", "take a failure domain out: no new work on its backend servers",
     runEvacuate},
    {"restore", 1, "DOMAIN", "put an evacuated failure domain back", runRestore},
    {"evacuations", 0, "", "list the evacuated failure domains", runEvacuations},
    {"member", 2, "admit|remove NUMBER", "add or remove a control host as a member of the log",
     runMember},
    {"suspects", 0, "", "list requests suspected of crashing backend servers", runSuspects},
    {"unblock", 1, "REQUEST", "allow a suspected request to run again", runUnblock},
    {"dump", 0, "--target URL", "the state of one process", runDump},
    {"explain", 0,
     "--account A (--service S | --model M) [--tokens N] [--header NAME=VALUE]... [--file F]",
     "show where a request would be routed and why", runExplain},
}};

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H
