/** @file order_sample.h Sample engines and placements for the tests of orders. */
#ifndef POLLENSTALL_TESTS_ORDER_ORDER_SAMPLE_H
#define POLLENSTALL_TESTS_ORDER_ORDER_SAMPLE_H

#include "order/order.h"

namespace pollenstall {

inline mono_time at(std::int64_t Millis) { return mono_time(std::chrono::milliseconds(Millis)); }

inline engine_state sampleEngine(std::uint64_t Index, const std::string &Domain,
                                 order_check Orders = order_check::Fenced) {
  engine_state Engine;
  Engine.Key = {backend_address("127.0.0.1:" + std::to_string(9000 + Index)), incarnation(1)};
  Engine.Service = service_name("tactic-llm");
  Engine.Domain = failure_domain_name(Domain);
  Engine.Labels = {{"track", "stable"}};
  Engine.OrderCheck = Orders;
  return Engine;
}

inline versioned_model sampleCopy(const std::string &Version) {
  return {model_name("tactic-7b"), model_version(Version)};
}

inline placement samplePlacement(const std::string &Version, std::uint32_t Copies) {
  placement Placement;
  Placement.Service = service_name("tactic-llm");
  Placement.Group = group_name("all");
  Placement.Copy = sampleCopy(Version);
  Placement.Copies = Copies;
  return Placement;
}

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_ORDER_ORDER_SAMPLE_H
