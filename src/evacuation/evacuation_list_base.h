/** @file evacuation_list_base.h The failure domains that are out of service. */
#ifndef POLLENSTALL_EVACUATION_EVACUATION_LIST_BASE_H
#define POLLENSTALL_EVACUATION_EVACUATION_LIST_BASE_H

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace pollenstall {

/**
 * The evacuated failure domains as of one version. Backend servers in them get no new requests;
 * requests that already run there go on. Before the first list nothing is out.
 */
class evacuation_list {
public:
  /// Replaces the list if the version is newer. Domains without a name are ignored, because servers
  /// without a domain can not be evacuated. @return Whether the list was replaced.
  bool update(std::uint64_t NewVersion, const std::vector<failure_domain_name> &NewDomains);

  /// @return Whether servers of the domain get no new requests.
  [[nodiscard]] bool isOut(const failure_domain_name &Domain) const {
    return Domains.contains(Domain);
  }
  /// @return The version; nothing before the first list.
  [[nodiscard]] std::optional<std::uint64_t> version() const { return Version; }
  [[nodiscard]] const std::set<failure_domain_name> &domains() const { return Domains; }
  [[nodiscard]] bool empty() const { return Domains.empty(); }

private:
  std::optional<std::uint64_t> Version;
  std::set<failure_domain_name> Domains; ///< Never contains the empty name.
};

} // namespace pollenstall

#endif // POLLENSTALL_EVACUATION_EVACUATION_LIST_BASE_H
