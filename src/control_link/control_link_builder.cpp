/** @file control_link_builder.cpp Options of a control link. */
#include "control_link/control_link_base.h"

#include <utility>

namespace pollenstall {

control_link_builder::control_link_builder(std::vector<std::string> ControlAddresses,
                                           std::string Fleet) {
  requireInvariant(!ControlAddresses.empty(),
                   "a control link needs the address of at least one control host");
  Options.ControlAddresses = std::move(ControlAddresses);
  Options.Fleet = std::move(Fleet);
}

control_link_builder &control_link_builder::process(process_key Process,
                                                    failure_domain_name Domain) {
  Options.Process = std::move(Process);
  Options.Domain = std::move(Domain);
  return *this;
}

control_link_builder &control_link_builder::workAddress(std::string Address) {
  Options.WorkAddress = std::move(Address);
  return *this;
}

control_link_builder &control_link_builder::onEvents(std::function<void()> Wake) {
  Options.NotifyEntry = std::move(Wake);
  return *this;
}

control_link_builder &control_link_builder::renewInterval(std::chrono::milliseconds Interval) {
  Options.LeaseRenewInterval = Interval;
  return *this;
}

control_link_builder &control_link_builder::answerTimeout(std::chrono::milliseconds Limit) {
  Options.AnswerTimeout = Limit;
  return *this;
}

control_link_builder &control_link_builder::connectTimeout(std::chrono::milliseconds Limit) {
  Options.ConnectionTimeout = Limit;
  return *this;
}

control_link_builder &control_link_builder::backOff(std::chrono::milliseconds Min,
                                                    std::chrono::milliseconds Max) {
  Options.BackOffMin = Min;
  Options.BackOffMax = Max;
  return *this;
}

control_link_builder &control_link_builder::ringCapacity(std::size_t Items) {
  Options.RingCapacity = Items;
  return *this;
}

} // namespace pollenstall
