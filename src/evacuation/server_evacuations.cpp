/** @file server_evacuations.cpp Whether a backend server may get new requests, by its key. */
#include "evacuation/server_evacuations_base.h"

#include <algorithm>

namespace pollenstall {

bool server_evacuations::update(std::uint64_t Version,
                                const std::vector<failure_domain_name> &Domains) {
  if (!List.update(Version, Domains))
    return false;
  std::erase_if(Servers, [this](const auto &Item) {
    return Item.second.Ended && !List.isOut(Item.second.Domain);
  });
  return true;
}

bool server_evacuations::setDomain(const backend_key &Server, const failure_domain_name &Domain) {
  const auto [Found, IsNew] = Servers.try_emplace(Server);
  const bool Changed = IsNew || Found->second.Domain != Domain;
  Found->second = {Domain, false};
  return Changed;
}

void server_evacuations::removeServer(const backend_key &Server) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  if (List.isOut(Found->second.Domain))
    Found->second.Ended = true;
  else
    Servers.erase(Found);
}

bool server_evacuations::isOut(const backend_key &Server) const {
  const auto Found = Servers.find(Server);
  return Found != Servers.end() && List.isOut(Found->second.Domain);
}

bool server_evacuations::allowsNewRequest(const backend_key &Server, bool IsBinding) const {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end() || Found->second.Domain.empty())
    return true;
  return IsBinding && !List.isOut(Found->second.Domain);
}

bool server_evacuations::anyServerHasDomain() const {
  return std::any_of(Servers.begin(), Servers.end(),
                     [](const auto &Item) { return !Item.second.Domain.empty(); });
}

} // namespace pollenstall
