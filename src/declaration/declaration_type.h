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

/// Labels that a backend server announces; a group holds the servers that carry all of its own.
using label_set = std::map<std::string, std::string>;

/// What stands behind a service.
enum class service_kind : std::uint8_t {
  Model, ///< Engines with the chat/completions interface.
  Plain, ///< Any HTTP service, found by host or path prefix.
};

/// Sends a plain call to a service; the longest matching prefix of the first matching host wins.
struct plain_route {
  std::string Host;                 ///< Host header without port; empty matches every host.
  std::string PathPrefix;           ///< Starts with "/"; matches at segment borders.
  std::vector<std::string> Methods; ///< Empty matches every method.
  bool Idempotent{true};            ///< False: the call runs at most once.

  bool operator==(const plain_route &) const = default;
};

/// A model service or a plain service.
struct service_declaration {
  service_name Name;
  service_kind Kind{service_kind::Model};
  std::vector<model_name> Models;                   ///< What callers may write as "model".
  std::vector<plain_route> Routes;                  ///< For plain services.
  std::chrono::milliseconds DefaultTimeout{60'000}; ///< Where the caller names none.
  std::chrono::milliseconds MaxTimeout{900'000};    ///< A caller's longer timeout is cut to this.
  tokens MaxPrompt{1'000'000};                      ///< A longer prompt is refused.
  tokens MaxAnswer{8'192};                          ///< A caller's larger max_tokens is refused.
  byte_count MaxBody{16LL << 20};                   ///< A larger body is refused.
  std::optional<engine_figures> Engine;             ///< Where its engines' figures are declared.
  std::uint32_t ConnectionLimit{0};                 ///< Of one server, for all callers; 0: none.

  bool operator==(const service_declaration &) const = default;
};

/// A labelled set of backend servers of one service.
struct group_declaration {
  group_name Name;
  service_name Service;
  label_set Labels; ///< A server belongs where it carries all of these.

  bool operator==(const group_declaration &) const = default;
};

/// A group with its part of the traffic of a selector.
struct group_share {
  group_name Group;
  std::uint32_t Weight{
      1}; ///< 0 takes part only when every other group of the selector has no server.

  bool operator==(const group_share &) const = default;
};

/// A header that a request must carry.
struct header_match {
  std::string Name;  ///< Compared without case.
  std::string Value; ///< Compared exactly.

  bool operator==(const header_match &) const = default;
};

/// Tested in order; the first whose conditions all hold decides the groups.
struct selector_declaration {
  selector_name Name;
  service_name Service;                      ///< Which service's requests it is tested on.
  std::vector<model_name> Models;            ///< Empty matches every model.
  std::vector<client_account_name> Accounts; ///< Empty matches every account.
  std::vector<header_match> Headers;         ///< All must match.
  tokens PromptFrom{0};                      ///< Inclusive.
  std::optional<tokens> PromptBelow;         ///< Exclusive.
  std::vector<group_share> Groups;

  bool operator==(const selector_declaration &) const = default;
};

struct placement_tag {};
/// A declared placement of copies.
using placement_name = strong_text<placement_tag>;

/// Whether copies go into different failure domains first.
enum class placement_spread : std::uint8_t { Domains, None };

/// So many copies of a model on the engines of a group; orders bring them there.
struct placement_declaration {
  placement_name Name;
  service_name Service;
  group_name Group;
  model_name Model;
  std::string Version;     ///< Of the weights; empty where the model has no versions.
  std::uint32_t Copies{1}; ///< 0 takes the model off the group.
  placement_spread Spread{placement_spread::Domains};

  bool operator==(const placement_declaration &) const = default;
};

/// Who calls, and with what share of the fleet.
struct account_declaration {
  client_account_name Name;
  std::vector<std::string> KeyHashes;      ///< SHA-256 of each bearer key, lower-case hex.
  std::uint32_t Share{1};                  ///< Relative share by cost when the fleet is busy.
  std::uint32_t MaxQueued{256};            ///< Requests of the account that wait at one entry.
  std::optional<std::uint32_t> Priority{}; ///< Goes before the route's; 0 is the most urgent.

  bool operator==(const account_declaration &) const = default;
};

/// How classes of length are weighed against each other.
struct policy_declaration {
  tokens ShortBelow{8'000};          ///< Prompts below are short.
  tokens LongFrom{100'000};          ///< Prompts from here are long; between lies medium.
  double ShortWeight{1.0};           ///< Weight of the slowdown of short requests.
  double LongWeight{1.0};            ///< Weight of the time to first token of long requests.
  std::uint32_t MaxLongPerEngine{1}; ///< Long prefills on one engine at once.
  double LongEngineShare{0.34};      ///< Largest part of a group's engines that take long work.

  bool operator==(const policy_declaration &) const = default;
};

/// Bounds that protect the fleet.
struct limits_declaration {
  std::uint32_t MaxQueued{2'048}; ///< Requests that wait at one entry.
  std::uint32_t MaxAttempts{3};   ///< Attempts of one request.
  std::uint32_t RetryPercent{10}; ///< Retries per hundred first attempts.
  std::uint32_t EjectPercent{30}; ///< Backend servers of a group set aside at most.
  std::chrono::milliseconds ClaimLifetime{86'400'000}; ///< How long a claim on a key is kept.

  bool operator==(const limits_declaration &) const = default;
};

/// The whole of what operators declare; one text file, one revision.
struct fleet_declaration {
  std::vector<service_declaration> Services;
  std::vector<group_declaration> Groups;
  std::vector<selector_declaration> Selectors;
  std::vector<placement_declaration> Placements;
  std::vector<account_declaration> Accounts;
  std::vector<call_route> Routes;
  std::optional<caller_limits> Callers;
  policy_declaration Policy;
  limits_declaration Limits;

  bool operator==(const fleet_declaration &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_TYPE_H
