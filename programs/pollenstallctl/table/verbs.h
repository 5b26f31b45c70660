/** @file verbs.h The verbs with what they take. */
#ifndef POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H
#define POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H

#include "verb_func.h"

#include <array>
#include <cstddef>

namespace pollenstall {

/// One verb of the command line.
struct verb_row {
  const char *Name;
  std::size_t Arguments; ///< How many words follow the verb.
  const char *Usage;
  const char *Summary;
  verb_result (*Run)(const ctl_options &Options);
};

inline constexpr std::size_t VerbCount = 11;
inline constexpr std::array<verb_row, VerbCount> Verbs{{
    {"validate", 1, "FILE", "check a declaration", runValidate},
    {"plan", 1, "FILE", "show what applying it would change", runPlan},
    {"apply", 1, "FILE [--base-revision N] [--change-id ID] [--wait]", "send it as a change",
     runApply},
    {"status", 0, "", "leader, members, entries, backend servers", runStatus},
    {"history", 0, "", "the accepted changes", runHistory},
    {"drain", 1, "IP:PORT [--undo] [--change-id ID]", "no new work for a backend server", runDrain},
    {"member", 2, "admit|remove NUMBER", "which control hosts keep the log", runMember},
    {"suspects", 0, "", "requests under which backend servers crash", runSuspects},
    {"unblock", 1, "REQUEST", "let such a request run again", runUnblock},
    {"dump", 0, "--target URL", "the state of one process", runDump},
    {"explain", 0,
     "--account A (--service S | --model M) [--tokens N] [--header NAME=VALUE]... [--file F]",
     "where a request would go and why", runExplain},
}};

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_TABLE_VERBS_H
