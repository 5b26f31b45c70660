/** @file work_share_base.h The thread that sends and receives work reports over UDP. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H

#include "core/core.h"
#include "work_share/work_share_type.h"

#include <memory>
#include <string>

namespace pollenstall {

/// Sends the datagrams of a work_view and passes received ones to it. Lost datagrams are not
/// resent.
class work_share {
public:
  /// Creates a work_share. @param Bind "IP:port"; with port 0 the kernel chooses a port.
  static result<std::unique_ptr<work_share>, work_share_error>
  create(const std::string &Fleet, process_key Self, const std::string &Bind,
         const permit_tuning &Permits = {});
  ~work_share();
  work_share(const work_share &) = delete;
  work_share &operator=(const work_share &) = delete;

  [[nodiscard]] std::string address() const;
  /// Commands from the decision thread. Do not call onWake() on this ring; work_share has set it.
  bounded_ring<share_command> &commands();
  /// Updates for the decision thread. An update does not wake that thread, which polls the ring in
  /// each iteration.
  bounded_ring<peer_work_update> &peerUpdates();
  /// Replies of issuers to the decision thread, which sets onWake().
  bounded_ring<permit_reply> &permitReplies();
  /// Messages of other entries about loans of retries, for the decision thread, which sets
  /// onWake().
  bounded_ring<received_retry_message> &retryMessages();
  /// May be called from any thread.
  [[nodiscard]] work_share_counts counts() const;
  void start();

private:
  class state;
  explicit work_share(std::unique_ptr<state> NewState);

  std::unique_ptr<state> State;
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H
