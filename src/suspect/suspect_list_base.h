/** @file suspect_list_base.h An entry's list of suspected requests, indexed for lookups. */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H
#define POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H

#include "suspect/suspect_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * The suspected requests as last published by the control hosts. It is immutable, so that threads
 * may share it. hasHeadHash() allows to skip the hash of a request's body if the rest of the
 * request matches no suspect.
 */
class suspect_list {
public:
  suspect_list() = default;
  suspect_list(const std::vector<published_suspect> &Published, mono_time Now);

  [[nodiscard]] bool empty() const { return ByHeadHash.empty(); }
  /// @return Whether a suspected request has this HeadHash.
  [[nodiscard]] bool hasHeadHash(std::uint64_t HeadHash) const {
    return ByHeadHash.contains(HeadHash);
  }
  /// @return Whether the request is suspected; it need not be blocked.
  [[nodiscard]] bool contains(const request_fingerprint &Fingerprint) const {
    return find(Fingerprint) != nullptr;
  }
  /// @return Until when the request must be refused; empty if it may run.
  [[nodiscard]] std::optional<mono_time> blockedUntil(const request_fingerprint &Fingerprint,
                                                      mono_time Now) const;

private:
  struct listed_request {
    request_fingerprint Fingerprint;
    mono_time BlockEnd;
  };
  [[nodiscard]] const listed_request *find(const request_fingerprint &Fingerprint) const;

  std::unordered_multimap<std::uint64_t, listed_request> ByHeadHash;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H
