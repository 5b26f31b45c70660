/** @file verb_drain.cpp drain IP:PORT: stops new work on a backend server; --undo resumes it. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

namespace pollenstall {

verb_result runDrain(const ctl_options &Options) {
  const std::string &Backend = Options.Arguments[0];
  if (!parseUrl("http://" + Backend))
    return verb_failure{ctl_exit::BadUsage, "drain " + Backend + ": allowed: IP:PORT", {}};
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const std::string Id = announceChangeId(Options, std::nullopt);
  const auto Response = sendChange(
      valueOf(Client), "/v1/drains",
      boost::json::object{{"backend", Backend}, {"undo", Options.Undo}, {"change_id", Id}});
  if (!succeeded(Response))
    return errorOf(Response);
  const std::string Effect = Options.Undo ? " takes new work again\n" : " takes no new work\n";
  return verb_output{"accepted: " + Backend + Effect, valueOf(Response)};
}

} // namespace pollenstall
