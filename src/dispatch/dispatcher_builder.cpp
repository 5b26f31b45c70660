/** @file dispatcher_builder.cpp Checks that a dispatcher's parts are complete. */
#include "dispatch/dispatcher_builder_base.h"

namespace pollenstall {

dispatcher_builder &dispatcher_builder::process(process_key Value) {
  Self = std::move(Value);
  return *this;
}

dispatcher_builder &dispatcher_builder::limits(const limits_declaration &Value) {
  Limits = Value;
  return *this;
}

dispatcher_builder &dispatcher_builder::seed(std::uint64_t Value) {
  Seed = Value;
  return *this;
}

dispatcher_builder &dispatcher_builder::seam(dispatch_seam Value) {
  Seam = std::move(Value);
  return *this;
}

result<dispatcher, dispatcher_build_error> dispatcher_builder::build() {
  if (!Self || Self->Host.empty())
    return dispatcher_build_error::NoProcess;
  if (!Seam.Submit)
    return dispatcher_build_error::NoSubmit;
  if (!Seam.GroupsFor)
    return dispatcher_build_error::NoGroups;
  return dispatcher(*Self, Limits, Seed, std::move(Seam));
}

} // namespace pollenstall
