/** @file suspect_list_base.h What an entry was told of suspected requests, for look-ups. */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H
#define POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H

#include "suspect/suspect_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * A body is hashed only where the rest of the request is that of a suspect. Never changed once it
 * is made, so that threads may share it.
 */
class suspect_list {
public:
  suspect_list() = default;
  suspect_list(const std::vector<told_suspect> &Told, mono_time Now);

  [[nodiscard]] bool empty() const { return ByShape.empty(); }
  /// @return Whether a request of this shape is suspected.
  [[nodiscard]] bool hasShape(std::uint64_t Shape) const { return ByShape.contains(Shape); }
  /// @return Whether the request is suspected, blocked or not.
  [[nodiscard]] bool contains(const request_mark &Mark) const { return find(Mark) != nullptr; }
  /// @return Until when the request is to be refused; nothing where it may run.
  [[nodiscard]] std::optional<mono_time> blockedUntil(const request_mark &Mark,
                                                      mono_time Now) const;

private:
  struct item {
    request_mark Mark;
    mono_time Until;
  };
  [[nodiscard]] const item *find(const request_mark &Mark) const;

  std::unordered_multimap<std::uint64_t, item> ByShape;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_LIST_BASE_H
