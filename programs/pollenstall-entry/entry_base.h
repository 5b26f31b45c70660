/** @file entry_base.h An entry process: starts and stops its threads in order. */
#ifndef POLLENSTALL_ENTRY_ENTRY_BASE_H
#define POLLENSTALL_ENTRY_ENTRY_BASE_H

#include "decision_thread_base.h"
#include "entry_settings_type.h"
#include "operators/operators.h"
#include "program/program.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace pollenstall {

/// Why an entry could not start, as a message for the log.
struct entry_error {
  std::string Text;
};

/// One entry: relay thread, decision thread, gossip thread, control link and operator servers.
class entry {
public:
  explicit entry(entry_settings InitialSettings);
  ~entry();
  entry(const entry &) = delete;
  entry &operator=(const entry &) = delete;

  /// Binds all addresses and starts all threads.
  result<done, entry_error> start();
  /// @return Whether a newer incarnation of this host runs, so that this process must stop.
  [[nodiscard]] bool superseded() const { return Decision->superseded(); }
  /// Refuses new work, waits for admitted work up to the limit, then stops.
  exit_code shutDown();

private:
  result<done, entry_error> loadDeclaration(std::optional<fleet_declaration> &Declaration) const;
  result<done, entry_error> startRelay();
  result<done, entry_error> startOperators();
  result<done, entry_error> startAnnouncements();
  result<done, entry_error> writeAddresses() const;
  void startControl();
  result<done, entry_error> startGossip();
  result<done, entry_error> startWorkShare();
  [[nodiscard]] std::optional<std::string> missingSetting() const;
  [[nodiscard]] bool usesDirectory() const { return Settings.BackendSource == "control"; }
  [[nodiscard]] bool usesPlatform() const { return Settings.Interface == "platform"; }
  void stopRelay();
  [[nodiscard]] operator_reply handleAnnouncement(const operator_call &Call);
  [[nodiscard]] std::string announceToJson() const;
  [[nodiscard]] std::string dump();
  [[nodiscard]] std::optional<std::string> dumpRelay(std::chrono::milliseconds Limit);
  [[nodiscard]] std::size_t openCalls();
  /// Logs that a port is open. @param Purpose What the port is for.
  static void logPathChange(const path_change &Change);
  static void logConnectFailure(const connect_failure &Failure);
  static void logBrokenAnswer(const broken_answer &Broken);
  static void logHolds(const hold_record &Record);
  static void logListening(const char *Purpose, const std::string &Address);
  void handleCallEnd(const call_record &Record);
  void waitForZero(mono_time Deadline, const std::function<std::size_t()> &Count);

  entry_settings Settings;
  process_key Self;
  std::shared_ptr<prometheus::Registry> Registry;
  /// One thread does all I/O and others only post, so that the reactor needs no internal locks.
  boost::asio::io_context Io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> IoWorkGuard;
  std::unique_ptr<decision_thread> Decision;
  std::unique_ptr<gossip_service>
      Gossip; ///< Null if the list of backend servers comes from control hosts.
  std::unique_ptr<work_share> WorkShare; ///< Null if the list of backend servers comes from gossip.
  /// Guards AnnounceAddress and the producer side of the announcement ring: the announcement server
  /// has several threads.
  std::mutex AnnouncementGuard;
  std::string AnnounceAddress;
  std::unique_ptr<relay> Relay;
  std::thread RelayThread;
  std::unique_ptr<operator_server> Operators;
  std::unique_ptr<operator_server> Announcements;
  std::string CallersAddress;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> ShutdownEndedCall{
      false}; ///< An admitted request was ended by the shutdown limit.
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_BASE_H
