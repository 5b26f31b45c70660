/** @file running_system_base.h Control hosts, entries and backend servers, all real processes. */
#ifndef POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H
#define POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H

#include "control/control_cluster.h"

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// What differs between the systems of the tests.
struct system_options {
  int Engines{2};
  int Plain{2};
  std::string EngineTop{};    ///< Lines at the top of the engines' settings.
  std::string EngineTables{}; ///< Tables of the engines' settings.
  std::string ServiceLines{}; ///< Lines of the model service.
};

/// Three control hosts and three entries with their backend servers, known everywhere and with a
/// declaration in force once constructed.
class running_system {
public:
  static constexpr std::size_t EntryCount = 3;

  explicit running_system(const system_options &Wanted = {});

  control_cluster &control() { return Control; }
  [[nodiscard]] child_process &entry(std::size_t Index) { return *Entries.at(Index).Process; }
  [[nodiscard]] backend_process &engine(std::size_t Index) { return *Engines.at(Index); }
  [[nodiscard]] backend_process &plain(std::size_t Index) { return *PlainServers.at(Index); }
  [[nodiscard]] std::size_t engines() const { return Engines.size(); }
  [[nodiscard]] std::size_t plainServerCount() const { return PlainServers.size(); }
  [[nodiscard]] http_client caller(std::size_t Entry) const;
  [[nodiscard]] http_client operators(std::size_t Entry) const;

  void killEntry(std::size_t Index);
  /// Starts a killed entry under its old name and addresses.
  void startEntry(std::size_t Index);
  /// Starts a new life of an engine at its old address; the old one must have ended.
  void restartEngine(std::size_t Index);
  /// Starts a new life of each engine that has ended. @return How many.
  std::size_t restartEndedEngines();

  /// @return Whether the entry admits new requests.
  [[nodiscard]] bool ready(std::size_t Entry) const;
  /// @return Whether all entries do, with every backend server known to them.
  [[nodiscard]] bool allReady() const;
  /// @return What /dump shows.
  [[nodiscard]] boost::json::value dump(std::size_t Entry) const;
  /// @return Whether the entry's scheduler would give the backend server at the address new work.
  [[nodiscard]] bool acceptsWork(std::size_t Entry, const std::string &Backend) const;
  /// @return The revision that the entry uses, by its metrics.
  [[nodiscard]] std::uint64_t revisionInUse(std::size_t Entry) const;
  /// @return How many attempts the entry gave up whose end nobody has confirmed.
  [[nodiscard]] std::size_t abandoned(std::size_t Entry) const;
  /// @return The revision of the last declaration that the system accepted from this object.
  [[nodiscard]] std::uint64_t revision() const { return Revision; }
  /// @return Whether that revision, and no other, is in use at every entry, which admits requests.
  [[nodiscard]] bool inForce(std::uint64_t Number) const;
  /// Declares the fleet with a bound that tells the changes apart. @return Whether accepted.
  bool declare(int MaxQueued);
  [[nodiscard]] std::string declarationWith(int MaxQueued) const;

  /// @return The whole answer to a call that must run once, sent with the key.
  [[nodiscard]] http_answer send(std::size_t Entry, const std::string &Key) const;
  /// The same, while the test goes on.
  [[nodiscard]] std::future<http_answer> sendAsync(std::size_t Entry, const std::string &Key) const;
  /// @return How often any plain server started work under the key.
  [[nodiscard]] std::int64_t startsByKey(const std::string &Key) const;
  /// Waits until a plain server has started work under the key. @return Which.
  [[nodiscard]] std::size_t waitForStart(const std::string &Key) const;
  /// The same faults on every plain server. @return Whether all took them.
  bool plainFaults(const std::string &Json) const;

  [[nodiscard]] http_answer chat(std::size_t Entry, const std::string &Prompt, int AnswerTokens = 2,
                                 http_headers ExtraHeaders = {}) const;
  [[nodiscard]] std::unique_ptr<http_stream> stream(std::size_t Entry, const std::string &Prompt,
                                                    int AnswerTokens, http_headers ExtraHeaders = {}) const;
  /// @return The engine that runs something; waits for it.
  [[nodiscard]] std::size_t busyEngine() const;
  /// @return Whether every engine's memory is free and no entry has an attempt left to confirm.
  [[nodiscard]] bool isMemoryReleased() const;

  /// Runs pollenstallctl. @return Its exit code.
  int ctl(std::vector<std::string> Words) const;

private:
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

/// @return "not-run", "unknown" or nothing, as the answer's head says.
std::string outcomeOf(const http_answer &Answer);
/// @return Whether the events are numbered from one without a gap and end with the end mark.
bool isCompleteStream(const std::vector<sse_event> &Events);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_SYSTEM_RUNNING_SYSTEM_BASE_H
