/** @file verb_suspects.cpp suspects: lists requests suspected of crashes; unblock REQUEST. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace pollenstall {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1'000;

boost::json::array readableRows(const boost::json::array &Suspects) {
  boost::json::array Rows;
  for (const boost::json::value &Suspect : Suspects) {
    const std::uint64_t BlockedMs = numberAt(Suspect, "blocked_ms").value_or(0);
    Rows.push_back(boost::json::object{
        {"request", textAt(Suspect, "request")},
        {"standing",
         BlockedMs > 0
             ? "refused for " + std::to_string(BlockedMs / MillisecondsPerSecond) + " s more"
             : std::string("watched")}});
  }
  return Rows;
}

} // namespace

verb_result runSuspects(const ctl_options &Options) {
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Body = fetch(valueOf(Client), "/v1/suspects");
  if (!succeeded(Body))
    return errorOf(Body);
  const auto *Suspects = findMember(valueOf(Body), "suspects");
  const bool HasSuspects = Suspects && Suspects->is_array() && !Suspects->get_array().empty();
  return verb_output{HasSuspects ? tableText(readableRows(Suspects->get_array()))
                                 : "no request is suspected\n",
                     valueOf(Body)};
}

verb_result runUnblock(const ctl_options &Options) {
  const std::string &Request = Options.Arguments[0];
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Response =
      sendChange(valueOf(Client), "/v1/suspects", boost::json::object{{"request", Request}});
  if (!succeeded(Response))
    return errorOf(Response);
  return verb_output{"accepted: " + Request + " may run again\n", valueOf(Response)};
}

} // namespace pollenstall
