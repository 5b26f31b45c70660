/** @file entry_fleet_base.h An entry and its backend servers as real processes. */
#ifndef POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H
#define POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H

#include "support/test_support.h"

#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Options of a test fleet.
struct fleet_options {
  std::string EntryLimits{};         ///< Lines of the table [limits].
  std::string EntryTopLevelLines{};  ///< Lines at the top of the entry's settings.
  std::string ServiceLines{};        ///< Additional lines in the model service's declaration.
  std::string AccountLines{};        ///< Additional lines in the account's declaration.
  std::string EngineTopLevelLines{}; ///< Lines at the top of the engines' settings.
  std::string EngineTables{};        ///< Tables of the engines' settings.
  int EngineCount{1};
  int PlainServerCount{0};
};

/// An entry and backend servers; the constructor returns once the entry knows all of them.
class entry_fleet {
public:
  explicit entry_fleet(const fleet_options &Options = {});

  [[nodiscard]] http_client caller() const { return http_client(Callers); }
  [[nodiscard]] http_client operators() const { return http_client(Operators); }
  [[nodiscard]] const std::string &callersAddress() const { return Callers; }
  [[nodiscard]] const std::string &announcementsAddress() const { return Announcements; }
  [[nodiscard]] child_process &entry() { return *Entry; }
  [[nodiscard]] backend_process &engine(std::size_t Index = 0) { return *Engines.at(Index); }
  [[nodiscard]] backend_process &plain(std::size_t Index = 0) { return *PlainServers.at(Index); }
  [[nodiscard]] std::size_t engines() const { return Engines.size(); }

  /// Kills the entry and restarts it under the same host name.
  void restartEntry();

  /// @return The complete answer to a chat call.
  [[nodiscard]] http_answer chat(const std::string &Prompt, int AnswerTokens = 2,
                                 http_headers ExtraHeaders = {}) const;
  /// Opens a streamed chat call.
  [[nodiscard]] std::unique_ptr<http_stream> stream(const std::string &Prompt,
                                                    int AnswerTokens) const;
  /// @return The JSON of /dump.
  [[nodiscard]] boost::json::value dump() const;
  /// @return The sum of the metric's samples whose line contains the text Label.
  [[nodiscard]] double metric(const std::string &Name, const std::string &Label = {}) const;
  /// @return Whether no request, attempt or memory block is in use anywhere.
  [[nodiscard]] bool isIdle();

private:
  void startEntry(const fleet_options &Options);
  void startBackends(const fleet_options &Options);
  [[nodiscard]] std::size_t knownBackends() const;

  temp_folder Folder;
  fleet_options FleetOptions;
  std::unique_ptr<child_process> Entry;
  std::vector<std::unique_ptr<backend_process>> Engines;
  std::vector<std::unique_ptr<backend_process>> PlainServers;
  std::string Callers;
  std::string Operators;
  std::string Announcements;
};

/// @return The Authorization header with the key of the caller.
http_headers callerAuthorization();
/// @return The "error" object of an answer, or an empty object.
boost::json::object errorOf(const http_answer &Answer);
/// @return The string member, or an empty string.
std::string textIn(const boost::json::object &Object, std::string_view Name);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_ENTRY_ENTRY_FLEET_BASE_H
