/** @file identity.cpp Text forms of ids that are sent to other processes. */
#include "core/identity_type.h"

#include "core/number_func.h"

#include <array>

namespace pollenstall {

namespace {

constexpr std::size_t AttemptFieldCount = 4;

std::optional<std::array<std::string_view, AttemptFieldCount>>
splitAttemptText(std::string_view Text) {
  std::array<std::string_view, AttemptFieldCount> Fields;
  for (std::size_t Index = 0; Index + 1 < AttemptFieldCount; ++Index) {
    const std::size_t Slash = Text.find('/');
    if (Slash == std::string_view::npos)
      return std::nullopt;
    Fields[Index] = Text.substr(0, Slash);
    Text.remove_prefix(Slash + 1);
  }
  Fields[AttemptFieldCount - 1] = Text;
  return Fields;
}

} // namespace

std::string toText(const attempt_id &Attempt) {
  return Attempt.Owner.Host.str() + "/" + std::to_string(Attempt.Owner.Incarnation.value()) + "/" +
         std::to_string(Attempt.Request.value()) + "/" + std::to_string(Attempt.Ordinal);
}

std::optional<attempt_id> parseAttemptId(std::string_view Text) {
  const auto Fields = splitAttemptText(Text);
  if (!Fields || (*Fields)[0].empty())
    return std::nullopt;
  const auto Incarnation = parseNumber<std::uint64_t>((*Fields)[1]);
  const auto Request = parseNumber<std::uint64_t>((*Fields)[2]);
  const auto Ordinal = parseNumber<std::uint32_t>((*Fields)[3]);
  if (!Incarnation || !Request || !Ordinal)
    return std::nullopt;
  return attempt_id{{host_name(std::string((*Fields)[0])), incarnation(*Incarnation)},
                    request_number(*Request),
                    *Ordinal};
}

std::string toText(const backend_key &Key) {
  return Key.Address.str() + "#" + std::to_string(Key.Incarnation.value());
}

} // namespace pollenstall
