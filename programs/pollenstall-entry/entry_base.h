/** @file entry_base.h The threads of an entry, started and stopped in order. */
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

/// Why an entry could not start; already in words for the log.
struct entry_error {
  std::string Text;
};

/// One entry: relay thread, decision thread, membership thread, control link, operators' servers.
class entry {
public:
  explicit entry(entry_settings Wanted);
  ~entry();
  entry(const entry &) = delete;
  entry &operator=(const entry &) = delete;

  /// Binds every address and starts every thread.
  result<done, entry_error> start();
  /// @return Whether a newer life of this host runs, so that this one must stop.
  [[nodiscard]] bool superseded() const { return Decision->superseded(); }
  /// Refuses new work, lets admitted work end up to the limit, then stops.
  exit_code shutDown();

private:
  result<done, entry_error> loadDeclaration(std::optional<fleet_declaration> &Into) const;
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
  [[nodiscard]] operator_reply takeAnnouncement(const operator_call &Call);
  [[nodiscard]] std::string announceTo() const;
  [[nodiscard]] std::string dump();
  [[nodiscard]] std::optional<std::string> dumpRelay(std::chrono::milliseconds Limit);
  [[nodiscard]] std::size_t openCalls();
  /// Logs that a port is open. @param What Whom it is for.
  static void logListening(const char *What, const std::string &Address);
  void noteCallEnd(const call_record &Record);
  void waitForCalls(mono_time Until, const std::function<std::size_t()> &Count);

  entry_settings Settings;
  process_key Self;
  std::shared_ptr<prometheus::Registry> Registry;
  /// One thread does all I/O, others only post: the reactor needs no locks of its own.
  boost::asio::io_context Io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::unique_ptr<decision_thread> Decision;
  std::unique_ptr<gossip_service> Gossip; ///< Null where control hosts know the backend servers.
  std::unique_ptr<work_share> Share;      ///< Null where gossip does.
  /// Of AnnounceAddress and the producer's side of the ring: the server has several threads.
  std::mutex AnnouncementGuard;
  std::string AnnounceAddress;
  std::unique_ptr<relay> Relay;
  std::thread RelayThread;
  std::unique_ptr<operator_server> Operators;
  std::unique_ptr<operator_server> Announcements;
  std::string CallersAddress;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> CutOff{false}; ///< An admitted request was ended by the shutdown limit.
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_BASE_H
