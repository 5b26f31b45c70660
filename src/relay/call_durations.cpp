/** @file call_durations.cpp How long the last calls of each kind took. */
#include "relay/call_durations_base.h"

#include <algorithm>

namespace pollenstall {

void call_durations::record(const service_name &Service, length_class Length, mono_duration Took) {
  last_durations &Last = Kinds[{Service, Length}];
  Last.Values[Last.Next] = Took;
  Last.Next = (Last.Next + 1) % Kept;
  Last.Count = std::min(Last.Count + 1, Kept);
}

std::optional<mono_duration> call_durations::longest(const service_name &Service,
                                                     length_class Length) const {
  const auto Found = Kinds.find({Service, Length});
  if (Found == Kinds.end())
    return std::nullopt;
  const last_durations &Last = Found->second;
  return *std::max_element(Last.Values.begin(),
                           Last.Values.begin() + static_cast<std::ptrdiff_t>(Last.Count));
}

} // namespace pollenstall
