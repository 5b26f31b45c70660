/** @file dispatcher_builder.cpp Checks that all required parts of a dispatcher are set. */
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

dispatcher_builder &dispatcher_builder::callbacks(dispatcher_callbacks Value) {
  Callbacks = std::move(Value);
  return *this;
}

result<dispatcher, dispatcher_build_error> dispatcher_builder::build() {
  if (!Self || Self->Host.empty())
    return dispatcher_build_error::NoProcess;
  if (!Callbacks.Submit)
    return dispatcher_build_error::NoSubmit;
  if (!Callbacks.GroupsFor)
    return dispatcher_build_error::NoGroups;
  return dispatcher(*Self, Limits, Seed, std::move(Callbacks));
}

} // namespace pollenstall
