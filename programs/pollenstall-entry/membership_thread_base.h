/** @file membership_thread_base.h The thread that keeps this entry's view of the fleet. */
#ifndef POLLENSTALL_ENTRY_MEMBERSHIP_THREAD_BASE_H
#define POLLENSTALL_ENTRY_MEMBERSHIP_THREAD_BASE_H

#include "announcement_func.h"
#include "membership/membership.h"
#include "relay/relay.h"
#include "wake_gate_base.h"

#include <atomic>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// Runs fleet_membership on announcements; views go to the decision thread.
class membership_thread {
public:
  membership_thread(fleet_membership Model, bounded_ring<membership_action> &Target);
  ~membership_thread();
  membership_thread(const membership_thread &) = delete;
  membership_thread &operator=(const membership_thread &) = delete;

  void start();
  void stop();
  /// From any thread. @return False where too many announcements wait.
  bool announce(received_announcement Announcement);
  /// @return JSON of the views, or nothing where the thread did not answer in time.
  [[nodiscard]] std::optional<std::string> dump(std::chrono::milliseconds Limit);

private:
  void run();
  void turn(mono_time Now);
  void pass(membership_action &&Action);

  fleet_membership Membership;
  event_outbox<membership_action> Outbox;
  wake_gate Gate;
  std::mutex Guard; ///< Of the two below: announcements come from several threads.
  std::vector<received_announcement> Announced;
  std::vector<std::promise<std::string>> DumpsWanted;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_MEMBERSHIP_THREAD_BASE_H
