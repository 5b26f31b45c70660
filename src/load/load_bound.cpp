/** @file load_bound.cpp Bounds. */
#include "load/load_bound_func.h"

#include <charconv>

namespace pollenstall {

std::optional<load_bound> parseBound(const std::string &Text) {
  const auto Sign = Text.find_first_of("<>");
  if (Sign == 0 || Sign == std::string::npos || Sign + 2 >= Text.size() || Text[Sign + 1] != '=')
    return std::nullopt;
  load_bound Bound;
  Bound.Metric = Text.substr(0, Sign);
  Bound.AtMost = Text[Sign] == '<';
  const char *End = Text.data() + Text.size();
  const auto [Stop, Problem] = std::from_chars(Text.data() + Sign + 2, End, Bound.Limit);
  if (Problem != std::errc() || Stop != End)
    return std::nullopt;
  return Bound;
}

bool boundHolds(const load_bound &Bound, const load_metrics &Metrics) {
  const auto Found = Metrics.find(Bound.Metric);
  if (Found == Metrics.end())
    return false;
  return Bound.AtMost ? Found->second <= Bound.Limit : Found->second >= Bound.Limit;
}

} // namespace pollenstall
