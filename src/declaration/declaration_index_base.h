/** @file declaration_index_base.h A declaration with what entries look up on every request. */
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

/// The service of a plain call; the pointers live as long as the index.
struct route_match {
  const service_declaration *Service{nullptr};
  const plain_route *Route{nullptr};
  bool Idempotent{true}; ///< False: the call runs at most once.
};

/**
 * Built once for each revision and then only read, from any thread. Lookups cost a hash, not a walk
 * over all accounts or services.
 */
class declaration_index {
public:
  /// @param Declaration As parseDeclaration() gave it.
  explicit declaration_index(fleet_declaration Declaration);
  declaration_index(const declaration_index &) = delete;
  declaration_index &operator=(const declaration_index &) = delete;

  /// @return The declaration itself.
  [[nodiscard]] const fleet_declaration &declaration() const { return Fleet; }

  /// @param KeyHash SHA-256 of the bearer key, lower-case hex. @return Null for an unknown key.
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
   * Finds the service of a plain call: routes that name the host before those for every host; then
   * the longest path prefix; then a route that names the method before one for every method.
   * @param Host The Host header, with or without port, in any case.
   * @param Method The request's method.
   * @param Target The request target in origin form, with its query.
   * @return Nothing where no route matches or the target is not safe to match (normalisePath()).
   */
  [[nodiscard]] std::optional<route_match> findRoute(std::string_view Host, std::string_view Method,
                                                     std::string_view Target) const;

  /// @param Host The Host header. @param Path The path as it was sent, without query.
  /// @return The route with the longest prefix that begins the path, or null.
  [[nodiscard]] const call_route *findCallRoute(std::string_view Host, std::string_view Path) const;

  /// @return The first selector of the service that matches, or null.
  [[nodiscard]] const selector_declaration *select(const selector_input &Input) const;

  /// @return The lower-case names of all headers that selectors look at; the others need not be
  /// kept.
  [[nodiscard]] const std::vector<std::string> &selectorHeaders() const { return HeaderNames; }

private:
  struct indexed_route {
    const service_declaration *Service;
    const plain_route *Route;
  };
  using route_list = std::vector<indexed_route>; ///< Best match first.

  void indexServices();
  void indexSelectors();
  void indexAccounts();
  void indexCallRoutes();
  [[nodiscard]] std::optional<route_match> findIn(const std::string &Host, const std::string &Path,
                                                  const std::string &Method) const;

  // The keys view texts inside Fleet, which never changes or moves.
  fleet_declaration Fleet;
  std::unordered_map<std::string_view, const account_declaration *> AccountByKey;
  std::unordered_map<std::string_view, const account_declaration *> AccountByName;
  std::unordered_map<std::string_view, const service_declaration *> ServiceByModel;
  std::unordered_map<std::string_view, const service_declaration *> ServiceByName;
  std::unordered_map<std::string_view, const group_declaration *> GroupByName;
  std::unordered_map<std::string, route_list> RoutesByHost; ///< "" for every host.
  std::unordered_map<std::string_view, std::vector<const selector_declaration *>> SelectorsOf;
  std::unordered_map<std::string, std::vector<const call_route *>> CallRoutesByHost; ///< Longest
                                                                                     ///< first.
  std::vector<std::string> HeaderNames;
};

/// One revision's index, shared between the threads that read it.
using declaration_view = std::shared_ptr<const declaration_index>;

/// @return Whether a server with these labels belongs to the group, its service aside.
bool carriesLabels(const label_set &Server, const label_set &Group);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_INDEX_BASE_H
