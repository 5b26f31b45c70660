/** @file verb_member.cpp member admit|remove NUMBER: changes which control hosts keep the log. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

#include <charconv>

namespace pollenstall {

namespace {

std::optional<std::uint64_t> memberNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  const bool Whole = Error == std::errc{} && End == Text.data() + Text.size();
  return Whole ? std::optional(Number) : std::nullopt;
}

} // namespace

verb_result runMember(const ctl_options &Options) {
  const std::string &Action = Options.Arguments[0];
  const auto Member = memberNumber(Options.Arguments[1]);
  if ((Action != "admit" && Action != "remove") || !Member)
    return verb_failure{
        ctl_exit::BadUsage, "member: allowed: admit or remove, then a member's number", {}};
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Answer = sendChange(valueOf(Client), "/v1/members",
                                 boost::json::object{{"action", Action}, {"member", *Member}});
  if (!succeeded(Answer))
    return errorOf(Answer);
  return verb_output{"accepted: " + Action + " " + std::to_string(*Member) +
                         "; status tells when it has caught up\n",
                     valueOf(Answer)};
}

} // namespace pollenstall
