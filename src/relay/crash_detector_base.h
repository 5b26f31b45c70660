/** @file crash_detector_base.h Distinguishes a crashed backend server from a broken connection. */
#ifndef POLLENSTALL_RELAY_CRASH_DETECTOR_BASE_H
#define POLLENSTALL_RELAY_CRASH_DETECTOR_BASE_H

#include "relay/backend_connection_pool_base.h"
#include "relay/relayed_call_base.h"
#include "suspect/suspect.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace pollenstall {

/**
 * A connection can break in the network, or be closed by a healthy server. If the server's port
 * refuses the next connection right after that, the server has ended, and each request that it ran
 * may be the cause.
 */
class crash_detector {
public:
  using crash_hook = std::function<void(crash_report)>;

  crash_detector(boost::asio::io_context &Context, backend_connection_pool &ConnectionPool)
      : Io(Context), Pool(ConnectionPool) {}

  /// Sets the crash hook; without it no server is probed.
  void onCrash(crash_hook Hook) { ReportCrash = std::move(Hook); }
  /// Handles the connection of an attempt that broke before the answer was complete.
  /// @param Begun Whether a part of the answer had come.
  void onBrokenConnection(const backend_key &Backend, std::shared_ptr<relayed_call> Call,
                          bool Begun);
  /// Records that the answer of an attempt has begun, and reports it where a part of the prompt is
  /// on the list.
  void onRunBegun(const relayed_call &Call, const suspect_list &Suspects);
  /// Sets the hook for runs with suspected parts of prompts.
  void onSuspectRun(std::function<void(suspect_run_begun)> Hook) { ReportRun = std::move(Hook); }

private:
  /// Keeps the body after the call has released it.
  struct broken_call {
    std::shared_ptr<relayed_call> Call;
    std::shared_ptr<const request_body> Body;
    bool Begun{false};
  };

  boost::asio::awaitable<void> probe(backend_key Backend);

  boost::asio::io_context &Io;
  backend_connection_pool &Pool;
  crash_hook ReportCrash;
  std::function<void(suspect_run_begun)> ReportRun;
  prompt_part_history History;
  /// The broken calls by server, while a connection to the server is tried.
  std::map<backend_key, std::vector<broken_call>> BrokenCalls;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CRASH_DETECTOR_BASE_H
