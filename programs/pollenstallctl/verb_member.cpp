/** @file verb_member.cpp member admit|remove NUMBER: changes the members of the log. */
#include "core/core.h"
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

namespace pollenstall {

verb_result runMember(const ctl_options &Options) {
  const std::string &Action = Options.Arguments[0];
  const auto Member = parseNumber<std::uint64_t>(Options.Arguments[1]);
  if ((Action != "admit" && Action != "remove") || !Member)
    return verb_failure{
        ctl_exit::BadUsage, "member: allowed: admit or remove, then a member's number", {}};
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Response = sendChange(valueOf(Client), "/v1/members",
                                   boost::json::object{{"action", Action}, {"member", *Member}});
  if (!succeeded(Response))
    return errorOf(Response);
  return verb_output{"accepted: " + Action + " " + std::to_string(*Member) +
                         "; status reports when it has caught up\n",
                     valueOf(Response)};
}

} // namespace pollenstall
