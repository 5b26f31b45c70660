/** @file relay_builder.cpp Collects the dependencies of a relay. */
#include "relay/relay_base.h"

#include "relay/relay_context_type.h"

namespace pollenstall {

namespace asio = boost::asio;

relay_builder::relay_builder(asio::io_context &Context, bounded_ring<dispatch_event> &Events)
    : Io(Context), Ring(Events), Registry(std::make_shared<prometheus::Registry>()) {}

relay_builder &relay_builder::attemptLists(bounded_ring<attempts_listed> &Target) {
  Lists = &Target;
  return *this;
}

relay_builder &relay_builder::crashUpdates(bounded_ring<crash_update> &Target) {
  CrashUpdates = &Target;
  return *this;
}

relay_builder &relay_builder::rateLimits(bounded_ring<rate_limit_answer> &Target) {
  RateLimits = &Target;
  return *this;
}

relay_builder &relay_builder::serverNotices(bounded_ring<server_notice> &Target) {
  ServerNotices = &Target;
  return *this;
}

relay_builder &relay_builder::evacuationReports(bounded_ring<evacuations_in_use> &Target) {
  EvacuationReports = &Target;
  return *this;
}

relay_builder &relay_builder::process(process_key Value) {
  Self = std::move(Value);
  return *this;
}

relay_builder &relay_builder::limits(const relay_limits &Value) {
  Limits = Value;
  return *this;
}

relay_builder &relay_builder::metrics(std::shared_ptr<prometheus::Registry> Value) {
  Registry = std::move(Value);
  return *this;
}

relay_builder &relay_builder::interface(call_interface Hooks) {
  Interface = std::move(Hooks);
  return *this;
}

relay_builder &relay_builder::onCallEnd(std::function<void(const call_record &)> Hook) {
  AtCallEnd = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::onAnswerBroken(std::function<void(const broken_answer &)> Hook) {
  AtAnswerBroken = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::onHoldsEnded(std::function<void(const hold_record &)> Hook) {
  AtHoldsEnded = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::tunnels(std::string FleetName, tunnel_peer SelfAsPeer) {
  Fleet = std::move(FleetName);
  OwnPeer = std::move(SelfAsPeer);
  return *this;
}

relay_builder &relay_builder::simulatePartition(std::function<partition_effect()> Hook) {
  Partition = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::onStall(std::function<void(mono_duration)> Hook) {
  AtStall = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::onPathChange(std::function<void(const path_change &)> Hook) {
  AtPathChange = std::move(Hook);
  return *this;
}

relay_builder &relay_builder::onConnectFailure(std::function<void(const connect_failure &)> Hook) {
  AtConnectFailure = std::move(Hook);
  return *this;
}

} // namespace pollenstall
