/** @file invariant.cpp Aborts the process when an invariant is violated. */
#include "core/invariant_func.h"

#include <cstdio>
#include <cstdlib>

namespace pollenstall {

void failInvariant(std::string_view Name, const state_dump &Dump) {
  const std::string State = Dump ? Dump() : std::string("(no dump)");
  std::fprintf(stderr, "invariant broken: %.*s\n%s\n", static_cast<int>(Name.size()), Name.data(),
               State.c_str());
  std::fflush(stderr);
  std::abort();
}

} // namespace pollenstall
