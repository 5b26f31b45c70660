/** @file order_type.h Types of declared placements, observed engines, orders and their refusals. */
#ifndef POLLENSTALL_ORDER_ORDER_TYPE_H
#define POLLENSTALL_ORDER_ORDER_TYPE_H

#include "core/core.h"
#include "membership/membership_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pollenstall {

struct model_version_tag {};
/// Version of a model's weights; empty if the model has no versions.
using model_version = strong_text<model_version_tag>;

/// A model and its version. Each engine that has loaded it holds one copy.
struct versioned_model {
  model_name Model;
  model_version Version;

  auto operator<=>(const versioned_model &) const = default;
};

/// How the copies of a placement are spread over failure domains.
enum class copy_spread : std::uint8_t {
  Domains, ///< As evenly over failure domains as the engines allow.
  None,    ///< Without regard to failure domains.
};

/// A number of copies of a model, to be held by engines that carry all the labels.
struct placement {
  service_name Service;
  group_name Group;
  std::map<std::string, std::string> Labels; ///< Labels of the group.
  versioned_model Copy;
  std::uint32_t Copies{1}; ///< 0: the group holds no version of the model.
  copy_spread Spread{copy_spread::Domains};

  bool operator==(const placement &) const = default;
};

/// State of an engine, from its announcement and from GET /v1/state.
struct engine_state {
  backend_key Key;
  service_name Service;
  failure_domain_name Domain;
  std::map<std::string, std::string> Labels;
  order_check OrderCheck{order_check::None}; ///< Whether it takes orders and checks their tokens.
  bool Leaving{false};
  std::set<versioned_model> Loaded;
  fencing_token Fence; ///< Highest token that the engine has seen; 0 if it checks no tokens.
};

enum class order_kind : std::uint8_t {
  Load,
  Unload,
  RaiseFence, ///< Loads a copy that the engine holds, to raise the fencing token it has seen.
};

/// An order for one engine. Orders are idempotent.
struct planned_order {
  backend_key Engine;
  order_kind Kind{order_kind::Load};
  versioned_model Copy;

  auto operator<=>(const planned_order &) const = default;
};

/// How an order ended.
enum class order_outcome : std::uint8_t {
  Done,    ///< The engine answered that it executed the order.
  Refused, ///< The engine answered that it did not execute the order.
  /// No answer; the order may still take effect until order_gate_options::MaxTimeInFlight after the
  /// write.
  Unknown,
  NotSent, ///< No byte of the order left this process.
};

struct leader_term_tag {};
/// Term in which a leader was elected.
using leader_term = strong_id<leader_term_tag>;

/// The leader's lease, as granted by the replicated log.
struct leader_lease {
  leader_term Term;
  /// Send time of the messages to which a quorum replied; the lease is counted from it.
  mono_time Renewed{};
  mono_time End{};   ///< No other leader can hold a lease before this time.
  bool Valid{false}; ///< False on every host that does not lead.
};

/// Reason why the gate refuses an order.
enum class gate_refusal : std::uint8_t {
  NoLease,       ///< This host does not lead, or its lease has expired.
  LeaseTooShort, ///< The order could still be in flight when the lease ends.
  ClockJumped,   ///< The lease has not been renewed since the clock jumped.
  StaleTerm,     ///< The order was planned in an earlier term, from state that may be outdated.
  PredecessorInFlight, ///< An order of the previous leader may still arrive.
  /// The engine's state has not been read since this term began, its last order or a clock jump.
  StateNotRead,
  OwnOrderInFlight, ///< An earlier order of this leader may still arrive.
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_ORDER_TYPE_H
