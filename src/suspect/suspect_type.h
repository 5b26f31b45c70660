/** @file suspect_type.h Fingerprints of requests and of parts of prompts, and records of suspected
 * ones. */
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
 * Identifies a request by its client account, service, method, URL path and query, and body, or a
 * part of a prompt by its service and text. Each submission has the same fingerprint at all
 * entries. No key, name or prompt can be recovered from it.
 */
struct request_fingerprint {
  /// Account of a part of a prompt, which requests of several client accounts may contain.
  static constexpr std::uint64_t AnyAccount = 0;

  std::uint64_t Account{0};  ///< Hash of the client account's name.
  std::uint64_t HeadHash{0}; ///< Hash of the request without its body, but with the body's length;
                             ///< of a part of a prompt: of all.
  std::uint64_t High{0};     ///< With Low: leading 128 bits of SHA-256 over all.
  std::uint64_t Low{0};

  [[nodiscard]] bool isPromptPart() const { return Account == AnyAccount; }

  auto operator<=>(const request_fingerprint &) const = default;
};

/// @return High as sixteen hexadecimal digits, for logs and operators.
std::string toText(const request_fingerprint &Fingerprint);
/// Parses the text form of a fingerprint. @return request_fingerprint::High; empty if invalid.
std::optional<std::uint64_t> parseFingerprint(std::string_view Text);

/// A backend server crashed while it ran these requests, or requests with these parts.
struct crash_report {
  backend_key Backend;
  std::vector<request_fingerprint> Fingerprints;
};

/// A run of a suspected request succeeded.
struct suspect_cleared {
  request_fingerprint Fingerprint;
};

/// An answer to a request with a suspected part of a prompt has begun.
struct suspect_run_begun {
  request_fingerprint Fingerprint;
};

/// Crash record of one request, or of one part of a prompt. Times are Unix milliseconds of the wall
/// clocks of the log's leaders.
struct suspect_record {
  request_fingerprint Fingerprint;
  std::uint32_t Crashes{0}; ///< Counted towards the next block; reduced when a block begins.
  std::uint32_t Blocks{0};  ///< How many times the request was blocked.
  std::chrono::milliseconds LastCrash{0};
  std::chrono::milliseconds BlockedUntil{0};
  std::vector<incarnation> Incarnations; ///< Of the last counted crashes, so that each counts once.
  std::uint32_t RunsBegun{0}; ///< Since the first counted crash; only of parts of prompts.
  /// When it was published; only of parts of prompts.
  std::chrono::milliseconds WatchedSince{0};

  bool operator==(const suspect_record &) const = default;
};

/// A suspected request as published to the entries. They refuse it while it is blocked, and report
/// a successful run of it otherwise.
struct published_suspect {
  request_fingerprint Fingerprint;
  std::chrono::milliseconds BlockedFor{0}; ///< From now; 0: the request may run.

  bool operator==(const published_suspect &) const = default;
};

/// Limits of a suspect_table. They must be the same on all control hosts, or the hosts' tables
/// diverge.
struct suspect_tuning {
  /// A request is blocked at this many crashes.
  std::uint32_t BlockAfterCrashes{3};
  /// Crashes closer together than this count once, since the loss of a failure domain ends all runs
  /// of an innocent request at the same time.
  std::chrono::milliseconds MinCrashInterval{500};
  /// A record expires this long after the last counted crash or the end of the last block,
  /// whichever is later.
  std::chrono::milliseconds ForgetAfter{std::chrono::minutes(10)};
  /// Duration of the first block; each further block is twice as long.
  std::chrono::milliseconds InitialBlock{std::chrono::minutes(2)};
  std::chrono::milliseconds MaxBlock{std::chrono::hours(1)};
  std::size_t MaxRecords{4096};
  std::size_t MaxRecordsPerAccount{32};
  std::size_t MaxIncarnations{16}; ///< Stored for each record.

  // Of parts of prompts.

  /// An answer that has begun outweighs this part of a crash. Parts that many requests share are on
  /// most engines that crash for another reason.
  std::uint32_t RunsPerCrash{2};
  /// A domain's engines crash within this time. Engines that crash by a part of a prompt follow
  /// each other as fast as requests come.
  std::chrono::milliseconds MinPartCrashInterval{50};
  /// Time from the second crash to a block, in which entries report answers that have begun.
  std::chrono::milliseconds MinWatchTime{500};
  /// An unblocked record expires this long after its last crash.
  std::chrono::milliseconds ForgetPartAfter{std::chrono::minutes(1)};
  std::size_t MaxPromptParts{256};
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_TYPE_H
