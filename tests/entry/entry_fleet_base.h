/** @file entry_fleet_base.h An entry with backend servers behind it, all real processes. */
#ifndef POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H
#define POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H

#include "support/test_support.h"

#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// What differs between fleets of tests.
struct fleet_options {
  std::string EntryLimits{};  ///< Lines of the table [limits].
  std::string EntryTop{};     ///< Lines at the top of the entry's settings.
  std::string ServiceLines{}; ///< Lines of the model service.
  std::string AccountLines{}; ///< Lines of the account.
  std::string EngineTop{};    ///< Lines at the top of the engines' settings.
  std::string EngineTables{}; ///< Tables of the engines' settings.
  int Engines{1};
  int Plain{0};
};

/// Started and known to the entry once constructed.
class entry_fleet {
public:
  explicit entry_fleet(const fleet_options &Plan = {});

  [[nodiscard]] http_client caller() const { return http_client(Callers); }
  [[nodiscard]] http_client operators() const { return http_client(Operators); }
  [[nodiscard]] const std::string &callersAddress() const { return Callers; }
  [[nodiscard]] const std::string &announcementsAddress() const { return Announcements; }
  [[nodiscard]] child_process &entry() { return *Entry; }
  [[nodiscard]] backend_process &engine(std::size_t Index = 0) { return *Engines.at(Index); }
  [[nodiscard]] backend_process &plain(std::size_t Index = 0) { return *PlainServers.at(Index); }
  [[nodiscard]] std::size_t engines() const { return Engines.size(); }

  /// Kills the entry and starts it anew, as a host that comes back under its name.
  void restartEntry();

  /// @return A chat call's whole answer.
  [[nodiscard]] http_answer chat(const std::string &Prompt, int AnswerTokens = 2,
                                 http_headers ExtraHeaders = {}) const;
  /// Opens a streamed chat call.
  [[nodiscard]] std::unique_ptr<http_stream> stream(const std::string &Prompt,
                                                    int AnswerTokens) const;
  /// @return The state that /dump shows.
  [[nodiscard]] boost::json::value dump() const;
  /// @return The sum of all samples of a metric whose labels contain Label.
  [[nodiscard]] double metric(const std::string &Name, const std::string &Label = {}) const;
  /// @return Whether nothing is left anywhere: no request, no attempt, no block of memory.
  [[nodiscard]] bool isIdle();

private:
  void startEntry(const fleet_options &Plan);
  void startBackends(const fleet_options &Plan);
  [[nodiscard]] std::size_t knownBackends() const;

  temp_folder Folder;
  fleet_options Settings;
  std::unique_ptr<child_process> Entry;
  std::vector<std::unique_ptr<backend_process>> Engines;
  std::vector<std::unique_ptr<backend_process>> PlainServers;
  std::string Callers;
  std::string Operators;
  std::string Announcements;
};

/// The caller's key, as a header.
http_headers callerKey();
/// @return The "error" object of an answer, or an empty one.
boost::json::object errorOf(const http_answer &Answer);
/// @return A member's text, or an empty one.
std::string textIn(const boost::json::object &Object, std::string_view Name);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H
