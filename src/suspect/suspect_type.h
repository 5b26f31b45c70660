/** @file suspect_type.h Requests by what makes them the same, and bounds of what is kept of them.
 */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_TYPE_H
#define POLLENSTALL_SUSPECT_SUSPECT_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/**
 * The same for all sends of one request, at whichever entry: of its client account, service,
 * method, target and body.
 * No key, name or prompt can be read from it.
 */
struct request_mark {
  std::uint64_t Account{0}; ///< Hash of the client account's name.
  std::uint64_t Shape{0};   ///< Hash of all but the body, and of the body's length.
  std::uint64_t High{0};    ///< Leading 128 bits of SHA-256 over all of it.
  std::uint64_t Low{0};

  auto operator<=>(const request_mark &) const = default;
};

/// @return Sixteen digits that name it in logs and to operators.
std::string toText(const request_mark &Mark);
/// @return request_mark::High of such a name, or nothing where it is none.
std::optional<std::uint64_t> markFromText(std::string_view Text);

/// These requests were on a backend server when it crashed.
struct crash_seen {
  backend_key Backend;
  std::vector<request_mark> Marks;
};

/// A run of a suspected request ended well.
struct suspect_cleared {
  request_mark Mark;
};

/// What is known of one request; wall-clock times of the log's leaders, in Unix milliseconds.
struct suspect_record {
  request_mark Mark;
  std::uint32_t Crashes{0};
  std::uint32_t Blocks{0}; ///< How often it was blocked.
  std::chrono::milliseconds LastCrash{0};
  std::chrono::milliseconds BlockedUntil{0};
  std::vector<incarnation> Incarnations; ///< Of backend servers whose crashes were counted last.

  bool operator==(const suspect_record &) const = default;
};

/// What entries are told of a request: to refuse it, or to say when a run of it ends well.
struct told_suspect {
  request_mark Mark;
  std::chrono::milliseconds BlockedFor{0}; ///< From now; 0: it may run.

  bool operator==(const told_suspect &) const = default;
};

/// The same on every control host, or their states part.
struct suspect_tuning {
  /// A request is blocked at this many crashes.
  std::uint32_t MostCrashes{3};
  /// Crashes that follow each other more closely count once: a failure domain that is lost takes
  /// all runs of an innocent request with it.
  std::chrono::milliseconds Apart{500};
  /// A request that was not seen at a crash for longer is forgotten.
  std::chrono::milliseconds ForgetAfter{std::chrono::minutes(10)};
  /// How long it is blocked; doubles each time.
  std::chrono::milliseconds BlockFor{std::chrono::minutes(2)};
  std::chrono::milliseconds LongestBlock{std::chrono::hours(1)};
  std::size_t MostRecords{4096};
  std::size_t MostOfAccount{32};
  std::size_t MaxIncarnations{4}; ///< Remembered of one request.
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_TYPE_H
