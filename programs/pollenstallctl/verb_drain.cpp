/** @file verb_drain.cpp drain BACKEND_ADDRESS: no new work there, or again with --undo. */
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
  const auto Answer = sendChange(
      valueOf(Client), "/v1/drains",
      boost::json::object{{"backend", Backend}, {"undo", Options.Undo}, {"change_id", Id}});
  if (!succeeded(Answer))
    return errorOf(Answer);
  const std::string What = Options.Undo ? " takes new work again\n" : " takes no new work\n";
  return verb_output{"accepted: " + Backend + What, valueOf(Answer)};
}

} // namespace pollenstall
