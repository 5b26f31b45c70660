/** @file work_share_base.h The thread that carries work reports over UDP. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H

#include "core/core.h"
#include "work_share/work_share_type.h"

#include <memory>
#include <string>

namespace pollenstall {

/// Sends what a work_board decides, and hands on what it learns. Lost datagrams stay lost.
class work_share {
public:
  /// @param Bind "IP:port"; port 0 takes one from the kernel.
  static result<std::unique_ptr<work_share>, work_share_error>
  create(const std::string &Fleet, process_key Self, const std::string &Bind);
  ~work_share();
  work_share(const work_share &) = delete;
  work_share &operator=(const work_share &) = delete;

  [[nodiscard]] std::string address() const;
  /// From the decision thread; set no hook on it.
  bounded_ring<share_order> &orders();
  /// To the decision thread, which looks at it in each turn: no report is worth a turn of its own.
  bounded_ring<others_work> &others();
  /// From any thread.
  [[nodiscard]] work_share_counts counts() const;
  void start();

private:
  class state;
  explicit work_share(std::unique_ptr<state> Made);

  std::unique_ptr<state> State;
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_BASE_H
