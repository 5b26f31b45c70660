/** @file declaration_index_base.h Indexes a declaration for the lookups of every request. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_INDEX_BASE_H
#define POLLENSTALL_DECLARATION_DECLARATION_INDEX_BASE_H

#include "declaration/declaration_type.h"
#include "declaration/selection_type.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// The service and route of a plain call; the pointers are valid as long as the index.
struct route_match {
  const service_declaration *Service{nullptr};
  const plain_route *Route{nullptr};
  bool Idempotent{true}; ///< False: the call runs at most once.
};

/**
 * Lookup tables of one revision. Immutable after construction, so any thread may read it. Accounts,
 * services and groups are found by hash, without a scan of all items.
 */
class declaration_index {
public:
  /// @param Declaration As returned by parseDeclaration().
  explicit declaration_index(fleet_declaration Declaration);
  declaration_index(const declaration_index &) = delete;
  declaration_index &operator=(const declaration_index &) = delete;

  /// @return The indexed declaration.
  [[nodiscard]] const fleet_declaration &declaration() const { return Fleet; }

  /// @param KeyHash SHA-256 of the bearer key, lower-case hex.
  /// @return The account of the key, or null if the key is unknown.
  [[nodiscard]] const account_declaration *findAccount(std::string_view KeyHash) const;
  /// @return The account of that name, or null.
  [[nodiscard]] const account_declaration *findAccountByName(const client_account_name &Name) const;
  /// @return The service that serves the model, or null.
  [[nodiscard]] const service_declaration *findModel(std::string_view Model) const;
  /// @return The service of that name, or null.
  [[nodiscard]] const service_declaration *findService(const service_name &Name) const;
  /// @return The group of that name, or null.
  [[nodiscard]] const group_declaration *findGroup(const group_name &Name) const;

  /**
   * Finds the service of a plain call. Routes that name the host precede routes for every host, a
   * longer path prefix precedes a shorter one, and a route that names the method precedes a route
   * for every method.
   * @param Host The Host header, with or without port, in any case.
   * @param Method The request's method.
   * @param Target The request target in origin form, with its query.
   * @return Nothing if no route matches or if normalisePath() rejects the target.
   */
  [[nodiscard]] std::optional<route_match> findRoute(std::string_view Host, std::string_view Method,
                                                     std::string_view Target) const;

  /// @param Host The Host header. @param Path The path as received, without query.
  /// @return The route with the longest matching path prefix, or null.
  [[nodiscard]] const call_route *findCallRoute(std::string_view Host, std::string_view Path) const;

  /// @return The first selector of the service that matches, or null.
  [[nodiscard]] const selector_declaration *select(const selector_input &Input) const;

  /// @return The lower-case names of all headers that selectors test; other headers need not be
  /// kept.
  [[nodiscard]] const std::vector<std::string> &selectorHeaders() const { return HeaderNames; }

private:
  struct indexed_route {
    const service_declaration *Service;
    const plain_route *Route;
  };
  using route_list = std::vector<indexed_route>; ///< The most specific route first.

  void indexServices();
  void indexSelectors();
  void indexAccounts();
  void indexCallRoutes();
  [[nodiscard]] std::optional<route_match> findRouteForHost(const std::string &Host,
                                                            const std::string &Path,
                                                            const std::string &Method) const;

  // The string_view keys refer to texts inside Fleet, which never changes or moves.
  fleet_declaration Fleet;
  std::unordered_map<std::string_view, const account_declaration *> AccountByKey;
  std::unordered_map<std::string_view, const account_declaration *> AccountByName;
  std::unordered_map<std::string_view, const service_declaration *> ServiceByModel;
  std::unordered_map<std::string_view, const service_declaration *> ServiceByName;
  std::unordered_map<std::string_view, const group_declaration *> GroupByName;
  std::unordered_map<std::string, route_list> RoutesByHost; ///< Key "": every host.
  std::unordered_map<std::string_view, std::vector<const selector_declaration *>>
      SelectorsByService;
  /// The longest prefix is first.
  std::unordered_map<std::string, std::vector<const call_route *>> CallRoutesByHost;
  std::vector<std::string> HeaderNames;
};

/// The index of one revision, shared between reader threads.
using declaration_view = std::shared_ptr<const declaration_index>;

/// @return Whether the server has every label of the group. The service is not compared.
bool hasAllLabels(const label_set &Server, const label_set &Group);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_INDEX_BASE_H
