/** @file load_bound.cpp Parses and evaluates bounds. */
#include "load/load_bound_func.h"

#include <charconv>

namespace pollenstall {

std::optional<load_bound> parseBound(const std::string &Text) {
  const auto Comparison = Text.find_first_of("<>");
  if (Comparison == 0 || Comparison == std::string::npos || Comparison + 2 >= Text.size() ||
      Text[Comparison + 1] != '=')
    return std::nullopt;
  load_bound Bound;
  Bound.Metric = Text.substr(0, Comparison);
  Bound.AtMost = Text[Comparison] == '<';
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, ParseError] =
      std::from_chars(Text.data() + Comparison + 2, End, Bound.Limit);
  if (ParseError != std::errc() || ParseEnd != End)
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
