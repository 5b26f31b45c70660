/** @file verb_history.cpp history: lists the accepted changes, newest last. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <ctime>

namespace pollenstall {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1'000;
constexpr std::size_t TimeTextSize = 32;

/// Returns the UTC time, such as "2026-12-02 17:43:35Z".
std::string timeText(std::uint64_t UnixMs) {
  const auto Seconds = static_cast<std::time_t>(UnixMs / MillisecondsPerSecond);
  std::tm UtcTime{};
  gmtime_r(&Seconds, &UtcTime);
  std::array<char, TimeTextSize> Text{};
  const std::size_t Length = std::strftime(Text.data(), Text.size(), "%F %TZ", &UtcTime);
  return {Text.data(), Length};
}

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
