/** @file backend_server_base.h The fake backend server: one thread serves connections, steps the
 * engine model and sends announcements.
 */
#ifndef POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H
#define POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H

#include "core/core.h"
#include "fake_backend/announcer_base.h"
#include "fake_backend/backend_settings_type.h"
#include "fake_backend/cache_event_log_base.h"
#include "fake_backend/engine_base.h"
#include "fake_backend/engine_order_executor_base.h"
#include "fake_backend/fault_type.h"
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

/// The reason why the backend server could not start.
struct backend_start_error {
  std::string Message;
};

/// A fake backend server. Only leave() may be called from another thread than run().
class backend_server {
public:
  explicit backend_server(const backend_settings &InitialSettings);

  /// Binds the listen address and writes the address file.
  result<done, backend_start_error> listen();
  /// Serves until leave() is called and all work in progress has ended.
  void run();
  /// Announces that the server is leaving and declines new work; run() returns after the leave was
  /// announced and all jobs were delivered. Thread-safe.
  void leave();

  /// @return The bound address.
  [[nodiscard]] const std::string &address() const { return Address; }

private:
  friend class answer_stream;

  // backend_server.cpp: connections and timers
  result<done, std::string> openListener();
  void accept();
  void stepEngine();
  void schedulePeriodicTasks();
  void runPeriodicTasks();
  void applyImmediateFaults();
  void stopIfDrained();

  // backend_work.cpp: model calls and plain calls
  void handle(const session_ptr &Session, backend_request &&Request);
  void handleModelCall(const session_ptr &Session, const backend_request &Request);
  job_ptr createJob(const backend_request &Request, model_call &&Call);
  void answerJob(const session_ptr &Session, const job_ptr &Job, bool Stream);
  void answerUnstreamed(const session_ptr &Session, const job_ptr &Job, const std::string &Echo);
  void handlePlain(const session_ptr &Session, const backend_request &Request);
  bool declineIfRequired(const session_ptr &Session, const backend_request &Request);
  bool replyInjectedError(const session_ptr &Session, const std::string &Attempt);
  std::string attemptFromRequest(const backend_request &Request);
  std::string attemptToEcho(const std::string &Attempt);
  void countStart(const backend_request &Request, const std::string &Attempt);
  void sendUnstreamed(const session_ptr &Session, backend_response &&Response,
                      const session::callback &OnComplete);

  // backend_calls.cpp: attempts, KV cache, state, orders, faults and statistics
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

  struct cache_subscriber {
    std::weak_ptr<session> Session;
    std::uint64_t LastSentEvent{0};
  };

  backend_settings Settings;
  fault_plan Faults;
  engine Engine;
  engine_order_executor OrderExecutor;
  cache_event_log CacheEvents;
  std::vector<cache_subscriber> CacheSubscribers;
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
  std::int64_t ProcessIncarnation;
  std::int64_t OpenAnswers{0};
  std::string Address;
  bool Stepping{false};
  bool Leaving{false};
  bool LeaveAnnounced{false};

  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer StepTimer;
  boost::asio::steady_timer PeriodicTimer;
  std::unique_ptr<announcer> Announcer;
};

/// Returns a JSON response.
backend_response jsonResponse(boost::beast::http::status Status, const boost::json::object &Body);
/// Returns an error response in the format of the callers' API.
/// @param NotStarted Whether to add the header which says that no work was started.
backend_response errorResponse(boost::beast::http::status Status, std::string_view Code,
                               std::string_view Message, bool NotStarted);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_BACKEND_SERVER_BASE_H
