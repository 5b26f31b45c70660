/** @file server_evacuations_base.h Whether a backend server may get new requests, by its key. */
#ifndef POLLENSTALL_EVACUATION_SERVER_EVACUATIONS_BASE_H
#define POLLENSTALL_EVACUATION_SERVER_EVACUATIONS_BASE_H

#include "evacuation/evacuation_list_base.h"

#include <map>

namespace pollenstall {

/**
 * The evacuation list with the failure domains of the known backend servers, for code that knows a
 * server by its key only. Unknown servers are not out.
 */
class server_evacuations {
public:
  /// Replaces the list if the version is newer. @return Whether it was replaced.
  bool update(std::uint64_t Version, const std::vector<failure_domain_name> &Domains);
  /// Records the domain of a server. @return Whether it was unknown or another one.
  bool setDomain(const backend_key &Server, const failure_domain_name &Domain);
  /// Forgets a server that has ended. One that is out stays so until its domain is restored: work
  /// that was placed there before may still wait for its connection.
  void removeServer(const backend_key &Server);

  /// @return Whether the server gets no new requests.
  [[nodiscard]] bool isOut(const backend_key &Server) const;
  /**
   * Returns whether a new request may be sent to the server.
   * @param IsBinding Whether this entry holds a lease. Without one a newer list may exist, so that
   * only servers that no list can name are allowed.
   */
  [[nodiscard]] bool allowsNewRequest(const backend_key &Server, bool IsBinding) const;
  /// @return Whether any known server has a domain, so that a newer list could name it.
  [[nodiscard]] bool anyServerHasDomain() const;
  [[nodiscard]] const evacuation_list &list() const { return List; }

private:
  struct known_server {
    failure_domain_name Domain;
    bool Ended{false};
  };

  evacuation_list List;
  std::map<backend_key, known_server> Servers;
};

} // namespace pollenstall

#endif // POLLENSTALL_EVACUATION_SERVER_EVACUATIONS_BASE_H
