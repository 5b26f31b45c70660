/** @file verb_history.cpp history: lists the accepted changes, newest last. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace pollenstall {

namespace {

boost::json::array readableRows(const boost::json::array &Changes) {
  boost::json::array Rows;
  for (const boost::json::value &Change : Changes)
    Rows.push_back(
        boost::json::object{{"revision", numberAt(Change, "revision").value_or(0)},
                            {"time", timeText(numberAt(Change, "time_unix_ms").value_or(0))},
                            {"change id", textAt(Change, "change_id")},
                            {"summary", textAt(Change, "summary")}});
  return Rows;
}

} // namespace

verb_result runHistory(const ctl_options &Options) {
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Body = fetch(valueOf(Client), "/v1/history");
  if (!succeeded(Body))
    return errorOf(Body);
  const auto *Changes = findMember(valueOf(Body), "changes");
  const bool HasChanges = Changes && Changes->is_array() && !Changes->get_array().empty();
  return verb_output{HasChanges ? tableText(readableRows(Changes->get_array()))
                                : "no accepted changes\n",
                     valueOf(Body)};
}

} // namespace pollenstall
