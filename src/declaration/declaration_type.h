/** @file declaration_type.h What operators declare: services, groups, selectors, accounts, policy.
 */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_TYPE_H
#define POLLENSTALL_DECLARATION_DECLARATION_TYPE_H

#include "core/core.h"
#include "declaration/call_route_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Labels that a backend server announces. A group contains the servers that have all its labels.
using label_set = std::map<std::string, std::string>;

/// Kind of backend servers of a service.
enum class service_kind : std::uint8_t {
  Model, ///< Engines with the chat/completions API.
  Plain, ///< Any HTTP service, routed by host or path prefix.
};

/// Routes a plain call to a service. The longest matching prefix of the first matching host wins.
struct plain_route {
  std::string Host;                 ///< Host header without port; empty matches every host.
  std::string PathPrefix;           ///< Starts with "/"; matches whole path segments.
  std::vector<std::string> Methods; ///< Empty matches every method.
  bool Idempotent{true};            ///< False: the call runs at most once.

  bool operator==(const plain_route &) const = default;
};

/// A model service or a plain service.
struct service_declaration {
  service_name Name;
  service_kind Kind{service_kind::Model};
  std::vector<model_name> Models;                   ///< Accepted values of "model" in a request.
  std::vector<plain_route> Routes;                  ///< For plain services.
  std::chrono::milliseconds DefaultTimeout{60'000}; ///< Used if the caller sets none.
  std::chrono::milliseconds MaxTimeout{900'000};    ///< A longer timeout is reduced to this.
  tokens MaxPrompt{1'000'000};                      ///< A longer prompt is rejected.
  tokens MaxAnswer{8'192};                          ///< A larger max_tokens is rejected.
  byte_count MaxBody{16LL << 20};                   ///< A larger body is rejected.
  std::optional<engine_profile> Engine;             ///< Performance of its engines, if declared.
  std::uint32_t ConnectionLimit{0}; ///< Connections to one server, from all callers; 0: no limit.
  double ColdPerSecond{0};          ///< Requests a second that a cold server takes; 0: no bound.
  std::chrono::milliseconds ColdStart{0}; ///< How long a server is cold after its start.

  bool operator==(const service_declaration &) const = default;
};

/// A labelled set of backend servers of one service.
struct group_declaration {
  group_name Name;
  service_name Service;
  label_set Labels; ///< A server belongs to the group if it has all of these.

  bool operator==(const group_declaration &) const = default;
};

/// A group with its weight in a selector.
struct group_share {
  group_name Group;
  std::uint32_t Weight{1}; ///< 0: used only if no other group of the selector has a server.

  bool operator==(const group_share &) const = default;
};

/// A header that a request must carry.
struct header_match {
  std::string Name;  ///< Compared ignoring case.
  std::string Value; ///< Compared exactly.

  bool operator==(const header_match &) const = default;
};

/// Selectors are tested in order; the first whose conditions all hold selects the groups.
struct selector_declaration {
  selector_name Name;
  service_name Service;                      ///< Only requests of this service are tested.
  std::vector<model_name> Models;            ///< Empty matches every model.
  std::vector<client_account_name> Accounts; ///< Empty matches every account.
  std::vector<header_match> Headers;         ///< All must match.
  tokens PromptFrom{0};                      ///< Inclusive.
  std::optional<tokens> PromptBelow;         ///< Exclusive.
  std::vector<group_share> Groups;

  bool operator==(const selector_declaration &) const = default;
};

struct placement_tag {};
/// Name of a declared placement.
using placement_name = strong_text<placement_tag>;

/// Whether copies are spread over failure domains first.
enum class placement_spread : std::uint8_t { Domains, None };

/// The number of copies of a model on the engines of a group. Load and unload orders establish it.
struct placement_declaration {
  placement_name Name;
  service_name Service;
  group_name Group;
  model_name Model;
  std::string Version;     ///< Version of the weights; empty if the model has no versions.
  std::uint32_t Copies{1}; ///< 0 removes the model from the group.
  placement_spread Spread{placement_spread::Domains};

  bool operator==(const placement_declaration &) const = default;
};

/// A client account with its share of the fleet.
struct account_declaration {
  client_account_name Name;
  std::vector<std::string> KeyHashes; ///< SHA-256 of each bearer key, lower-case hex.
  std::uint32_t Share{1};             ///< Relative share, by cost, while the fleet is saturated.
  std::uint32_t MaxQueued{256};       ///< Requests of the account that may queue at one entry.
  std::optional<std::uint32_t> Priority{}; ///< Overrides the route's; 0 is the most urgent.

  bool operator==(const account_declaration &) const = default;
};

/// Scheduling policy for the prompt length classes.
struct policy_declaration {
  tokens ShortBelow{8'000}; ///< Shorter prompts are class short.
  tokens LongFrom{100'000}; ///< Prompts of at least this length are long; those between are medium.
  double ShortWeight{1.0};  ///< Weight of the slowdown of short requests.
  double LongWeight{1.0};   ///< Weight of the time to first token of long requests.
  std::uint32_t MaxLongPerEngine{1}; ///< Concurrent long prefills on one engine.
  double LongEngineShare{0.34}; ///< Largest fraction of a group's engines that run long requests.

  bool operator==(const policy_declaration &) const = default;
};

/// Limits that protect the fleet from overload.
struct limits_declaration {
  std::uint32_t MaxQueued{2'048}; ///< Requests that may queue at one entry.
  std::uint32_t MaxAttempts{3};   ///< Attempts allowed for one request.
  std::uint32_t RetryPercent{10}; ///< Retry budget: retries per hundred first attempts.
  std::uint32_t EjectPercent{30}; ///< Largest ejected part of a group's backend servers.
  std::chrono::milliseconds ClaimLifetime{86'400'000}; ///< Retention of the claim on a key.

  bool operator==(const limits_declaration &) const = default;
};

/// The complete declaration of a fleet: one text file, one revision.
struct fleet_declaration {
  std::vector<service_declaration> Services;
  std::vector<group_declaration> Groups;
  std::vector<selector_declaration> Selectors;
  std::vector<placement_declaration> Placements;
  std::vector<account_declaration> Accounts;
  std::vector<call_route> Routes;
  /// Whether calls of a declared route that is not anonymous need the key of an account. Without
  /// accounts no call has one, so that only a declaration that says so opens its routes.
  bool KeysRequired{true};
  std::optional<caller_limits> Callers;
  policy_declaration Policy;
  limits_declaration Limits;

  bool operator==(const fleet_declaration &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_TYPE_H
