/** @file crash_watch_base.h Tells a backend server that has crashed from a connection that broke.
 */
#ifndef POLLENSTALL_RELAY_CRASH_WATCH_BASE_H
#define POLLENSTALL_RELAY_CRASH_WATCH_BASE_H

#include "relay/backend_links_base.h"
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
 * A connection can break on its way, or be closed by a server that is well. Where the server's port
 * refuses the next connection right behind it, the server has ended, and each request that it ran
 * may be the cause.
 */
class crash_watch {
public:
  using crash_hook = std::function<void(crash_report)>;

  crash_watch(boost::asio::io_context &Context, backend_links &Connections)
      : Io(Context), Links(Connections) {}

  /// Without a hook nothing is looked at.
  void onCrash(crash_hook Hook) { Tell = std::move(Hook); }
  /// The connection of an attempt broke before the answer was whole.
  void noteBroken(const backend_key &Backend, std::shared_ptr<relayed_call> Call);

private:
  /// The body outlives the call's end here.
  struct broken_call {
    std::shared_ptr<relayed_call> Call;
    std::shared_ptr<const held_body> Body;
  };

  boost::asio::awaitable<void> probe(backend_key Backend);

  boost::asio::io_context &Io;
  backend_links &Links;
  crash_hook Tell;
  /// By server, while one connection to it is tried.
  std::map<backend_key, std::vector<broken_call>> Broken;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CRASH_WATCH_BASE_H
