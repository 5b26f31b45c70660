/** @file backend_server_base.h The stand-in: one thread that serves, steps the engine and
 * announces.
 */
#ifndef POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H
#define POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H

#include "core/core.h"
#include "fake_backend/announcer_base.h"
#include "fake_backend/backend_settings_type.h"
#include "fake_backend/cache_event_log_base.h"
#include "fake_backend/engine_base.h"
#include "fake_backend/fault_type.h"
#include "fake_backend/order_gate_base.h"
#include "fake_backend/prompt_scan_func.h"
#include "fake_backend/session_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Why the stand-in could not start.
struct backend_start_error {
  std::string Message;
};

/// A stand-in for a backend server. All but leave() is for the thread that calls run().
class backend_server {
public:
  explicit backend_server(const backend_settings &Given);

  /// Binds the address and writes the address file.
  result<done, backend_start_error> listen();
  /// Serves until the work that was running at leave() has ended.
  void run();
  /// Announces that it is leaving, declines new work and ends run() once it holds nothing.
  /// Safe from any thread.
  void leave();

  /// @return The bound address.
  [[nodiscard]] const std::string &address() const { return Address; }

private:
  friend class stream_answer;

  // backend_server.cpp: connections and time
  result<done, std::string> openPort();
  void accept();
  void stepEngine();
  void sampleLater();
  void sample();
  void strikeAtOnce();
  void stopIfEmpty();

  // backend_work.cpp: work
  void handle(const session_ptr &Session, backend_request &&Request);
  void handleModelCall(const session_ptr &Session, const backend_request &Request);
  job_ptr jobOf(const backend_request &Request, model_call &&Call);
  void answerJob(const session_ptr &Session, const job_ptr &Job, bool Stream);
  void answerWhole(const session_ptr &Session, const job_ptr &Job, const std::string &Echo);
  void handlePlain(const session_ptr &Session, const backend_request &Request);
  bool declines(const session_ptr &Session, const backend_request &Request);
  bool failsStarted(const session_ptr &Session, const std::string &Attempt);
  std::string attemptOf(const backend_request &Request);
  std::string echoOf(const std::string &Attempt);
  void countStart(const backend_request &Request, const std::string &Attempt);
  void sendWhole(const session_ptr &Session, backend_response &&Response,
                 const session::plain_hook &Then);

  // backend_calls.cpp: attempts, state and faults
  bool handleCall(const session_ptr &Session, const backend_request &Request);
  bool handleGet(const session_ptr &Session, const backend_request &Request,
                 std::string_view Target);
  bool handlePost(const session_ptr &Session, const backend_request &Request,
                  std::string_view Target);
  void cancelAttempt(const session_ptr &Session, const std::string &Attempt);
  void handleAttempt(const session_ptr &Session, const backend_request &Request);
  void handleCacheEvents(const session_ptr &Session, const backend_request &Request);
  void handleOrder(const session_ptr &Session, const backend_request &Request);
  void handleExport(const session_ptr &Session, const backend_request &Request);
  void handleImport(const session_ptr &Session, const backend_request &Request);
  void handleFaults(const session_ptr &Session, const backend_request &Request);
  [[nodiscard]] boost::json::object modelsJson() const;
  [[nodiscard]] boost::json::object attemptsJson() const;
  [[nodiscard]] boost::json::object loadJson() const;
  [[nodiscard]] boost::json::object stateJson() const;
  [[nodiscard]] boost::json::object statsJson() const;
  [[nodiscard]] std::string announcementJson();

  struct cache_reader {
    std::weak_ptr<session> Session;
    std::uint64_t After{0};
  };

  backend_settings Settings;
  fault_plan Faults;
  engine Engine;
  order_gate Orders;
  cache_event_log CacheEvents;
  std::vector<cache_reader> CacheReaders;
  std::deque<std::pair<mono_time, engine_load>> Loads;
  std::map<std::string, std::int64_t> StartsByAttempt;
  std::map<std::string, std::int64_t> StartsByKey;
  std::int64_t Starts{0};
  std::int64_t Declined{0};
  std::int64_t EventsSent{0};
  std::int64_t PlainRunning{0};
  std::uint64_t LoadSequence{0};
  std::uint64_t AnnounceSequence{0};
  std::uint64_t DirectAttempts{0};
  std::int64_t OwnIncarnation;
  std::int64_t OpenAnswers{0};
  std::string Address;
  bool Stepping{false};
  bool Leaving{false};
  bool LeaveAnnounced{false};

  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer StepTimer;
  boost::asio::steady_timer SampleTimer;
  std::unique_ptr<announcer> Announcer;
};

/// @return A JSON answer.
backend_response jsonResponse(boost::beast::http::status Status, const boost::json::object &Body);
/// @return An error in the shape of the callers' interface; NotStarted adds the header that says
/// so.
backend_response errorResponse(boost::beast::http::status Status, std::string_view Code,
                               std::string_view Message, bool NotStarted);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H
