/** @file order_type.h Declared copies, observed engines, orders, and why an order has to wait. */
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
/// Version of a model's weights; empty where the model has no versions.
using model_version = strong_text<model_version_tag>;

/// One model in one version, as an engine holds it.
struct model_copy {
  model_name Model;
  model_version Version;

  auto operator<=>(const model_copy &) const = default;
};

/// Whether copies of a placement are put into different failure domains first.
enum class copy_spread : std::uint8_t {
  Domains, ///< As evenly over failure domains as the engines allow.
  None,    ///< Wherever engines are.
};

/// So many copies of a model on the engines that carry all the labels.
struct placement {
  service_name Service;
  group_name Group;
  std::map<std::string, std::string> Labels; ///< Of the group.
  model_copy Copy;
  std::uint32_t Copies{1}; ///< 0 unloads every copy of the model from the group.
  copy_spread Spread{copy_spread::Domains};

  bool operator==(const placement &) const = default;
};

/// An engine as its announcement and GET /v1/state describe it.
struct engine_state {
  backend_key Key;
  service_name Service;
  failure_domain_name Domain;
  std::map<std::string, std::string> Labels;
  order_check Orders{order_check::None};
  bool Leaving{false};
  std::set<model_copy> Loaded;
  fencing_token Fence; ///< Highest it has seen; 0 where it does not check.
};

enum class order_kind : std::uint8_t {
  Load,
  Unload,
  Confirm, ///< A load of what the engine holds: only raises the fencing number that it has seen.
};

/// What one engine is to do. Carrying it out twice is the same as once.
struct planned_order {
  backend_key Engine;
  order_kind Kind{order_kind::Load};
  model_copy Copy;

  auto operator<=>(const planned_order &) const = default;
};

/// How an order ended.
enum class order_outcome : std::uint8_t {
  Done,    ///< The engine answered that it carried it out.
  Refused, ///< The engine answered that it did not.
  Unknown, ///< No answer: it may still take effect within the longest time under way.
  NotSent, ///< Not one byte left this process.
};

struct leader_term_tag {};
/// Term in which a leader was elected.
using leader_term = strong_id<leader_term_tag>;

/// The leader's lease as the replicated log knows it.
struct leader_lease {
  leader_term Term;
  mono_time Renewed{}; ///< Since when the quorum's promise is counted.
  mono_time End{};     ///< No other leader holds a lease before.
  bool Valid{false};   ///< False on all who do not lead.
};

/// Why the gate holds an order back.
enum class gate_refusal : std::uint8_t {
  NoLease,             ///< Not in office, or the lease has run out.
  LeaseTooShort,       ///< The order could still be under way when the lease ends.
  ClockJumped,         ///< The lease was not renewed since the clock jumped.
  OtherOffice,         ///< The order was planned in an earlier office, from what was true then.
  PredecessorUnderWay, ///< An order of an earlier leader may still arrive.
  StateUnread,         ///< The engine's real state was not read in this office.
  OwnOrderUnderWay,    ///< An earlier order of this leader may still arrive.
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_ORDER_TYPE_H
