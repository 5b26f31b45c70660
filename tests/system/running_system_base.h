/** @file running_system_base.h Control hosts, entries and backend servers as real processes. */
#ifndef POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H
#define POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H

#include "control/control_cluster.h"

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Options of a test system.
struct system_options {
  int Engines{2};
  int Plain{2};
  std::string EngineTop{};    ///< Lines at the top of the engines' settings.
  std::string EngineTables{}; ///< Tables of the engines' settings.
  std::string ServiceLines{}; ///< Lines of the model service.
};

/// Three control hosts, three entries and their backend servers. Once constructed, every entry
/// knows all backend servers and a declaration is in force.
class running_system {
public:
  static constexpr std::size_t EntryCount = 3;

  explicit running_system(const system_options &InitialOptions = {});

  control_cluster &control() { return Control; }
  [[nodiscard]] child_process &entry(std::size_t Index) { return *Entries.at(Index).Process; }
  [[nodiscard]] backend_process &engine(std::size_t Index) { return *Engines.at(Index); }
  [[nodiscard]] backend_process &plain(std::size_t Index) { return *PlainServers.at(Index); }
  [[nodiscard]] std::size_t engines() const { return Engines.size(); }
  [[nodiscard]] std::size_t plainServerCount() const { return PlainServers.size(); }
  [[nodiscard]] http_client caller(std::size_t Entry) const;
  [[nodiscard]] http_client operators(std::size_t Entry) const;

  void killEntry(std::size_t Index);
  /// Restarts a killed entry under its old name and addresses.
  void startEntry(std::size_t Index);
  /// Restarts an engine at its old address; its old process must have exited.
  void restartEngine(std::size_t Index);
  /// Restarts each engine that has exited. @return How many.
  std::size_t restartEndedEngines();

  /// @return Whether the entry admits new requests.
  [[nodiscard]] bool ready(std::size_t Entry) const;
  /// @return Whether all entries admit new requests and know every backend server.
  [[nodiscard]] bool allReady() const;
  /// @return The dumps of all entries, the statistics of all engines and the logs of entries and
  /// control hosts, for the message of a test that fails.
  [[nodiscard]] std::string description() const;
  /// @return The JSON of /dump.
  [[nodiscard]] boost::json::value dump(std::size_t Entry) const;
  /// @return Whether the scheduler of the entry would place new work on the backend server at the
  /// address; true if the state is unknown.
  [[nodiscard]] bool acceptsWork(std::size_t Entry, const std::string &Backend) const;
  /// @return The revision that the entry uses, according to its metrics.
  [[nodiscard]] std::uint64_t revisionInUse(std::size_t Entry) const;
  /// @return Number of abandoned attempts of the entry whose end is not confirmed.
  [[nodiscard]] std::size_t abandoned(std::size_t Entry) const;
  /// @return The last revision that the system accepted from declare().
  [[nodiscard]] std::uint64_t revision() const { return Revision; }
  /// @return Whether every entry uses exactly this revision and admits requests.
  [[nodiscard]] bool inForce(std::uint64_t ExpectedRevision) const;
  /// Declares the fleet with a queue limit that tells changes apart. @return Whether it was
  /// accepted.
  bool declare(int MaxQueued);
  [[nodiscard]] std::string declarationWith(int MaxQueued) const;

  /// Sends a call that must run once, with the idempotency key. @return The complete answer.
  [[nodiscard]] http_answer send(std::size_t Entry, const std::string &Key) const;
  /// Does the same asynchronously.
  [[nodiscard]] std::future<http_answer> sendAsync(std::size_t Entry, const std::string &Key) const;
  /// @return Number of starts of work with the key at all plain servers.
  [[nodiscard]] std::int64_t startsByKey(const std::string &Key) const;
  /// Waits until a plain server has started work with the key. @return Its index.
  [[nodiscard]] std::size_t waitForStart(const std::string &Key) const;
  /// Enables faults on every plain server. @return Whether all accepted them.
  bool plainFaults(const std::string &Json) const;

  [[nodiscard]] http_answer chat(std::size_t Entry, const std::string &Prompt, int AnswerTokens = 2,
                                 http_headers ExtraHeaders = {}) const;
  /// Sends a chat of several messages. @return The complete answer.
  [[nodiscard]] http_answer chatOf(std::size_t Entry,
                                   const std::vector<std::string> &Messages) const;
  [[nodiscard]] std::unique_ptr<http_stream> stream(std::size_t Entry, const std::string &Prompt,
                                                    int AnswerTokens,
                                                    http_headers ExtraHeaders = {}) const;
  /// Waits until an engine runs an attempt. @return Its index.
  [[nodiscard]] std::size_t busyEngine() const { return engineWith("running"); }
  /// Waits until an engine has started an attempt, which it may have run by now without having
  /// answered. @return Its index.
  [[nodiscard]] std::size_t startedEngine() const { return engineWith("starts"); }
  /// @return Whether all engine memory is free and no entry has a request or an unconfirmed
  /// attempt.
  [[nodiscard]] bool isMemoryReleased() const;

  /// Runs pollenstallctl. @return Its exit code.
  int ctl(std::vector<std::string> CommandArguments) const;

private:
  /// Waits until an engine reports a statistic above 0. @return Its index.
  [[nodiscard]] std::size_t engineWith(const std::string &Statistic) const;

  struct entry_process {
    std::string Callers;
    std::string Operators;
    std::string Announcements;
    std::string Gossip;
    std::unique_ptr<child_process> Process;
  };

  [[nodiscard]] std::string entrySettings(std::size_t Index) const;
  [[nodiscard]] std::string backendSettings(const std::string &Top,
                                            const std::string &Tables) const;
  [[nodiscard]] std::string engineTop() const;
  [[nodiscard]] std::string addressFile(std::size_t Index) const;

  system_options Plan;
  temp_folder Folder;
  control_cluster Control;
  std::vector<entry_process> Entries;
  std::vector<std::unique_ptr<backend_process>> Engines;
  std::vector<std::unique_ptr<backend_process>> PlainServers;
  std::uint64_t Revision{0};
};

/// @return The outcome header of an answer: "not-run", "unknown" or empty.
std::string outcomeOf(const http_answer &Answer);
/// @return Whether the events are numbered from 1 without a gap and end with [DONE].
bool isCompleteStream(const std::vector<sse_event> &Events);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H
