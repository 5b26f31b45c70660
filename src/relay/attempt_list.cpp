/** @file attempt_list.cpp Reads GET /v1/attempts. */
#include "relay/attempt_list_func.h"

#include "relay/attempt_head_func.h"
#include "relay/unary_call_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr std::size_t MaxListBytes = 4U << 20U;

std::optional<attempt_id> parseAttempt(const json::value &Element) {
  const json::object *Object = Element.if_object();
  const json::value *Name = Object ? Object->if_contains("attempt") : nullptr;
  const json::value *State = Object ? Object->if_contains("state") : nullptr;
  if (!Name || !Name->is_string() || (State && State->is_string() && *State == "finished"))
    return std::nullopt;
  return parseAttemptId({Name->get_string().data(), Name->get_string().size()});
}

} // namespace

std::vector<attempt_id> parseAttempts(std::string_view Body) {
  std::vector<attempt_id> Attempts;
  json::error_code Code;
  const json::value Parsed = json::parse(json::string_view(Body.data(), Body.size()), Code);
  const json::value *List =
      !Code && Parsed.is_object() ? Parsed.get_object().if_contains("attempts") : nullptr;
  if (!List || !List->is_array())
    return Attempts;
  for (const json::value &Element : List->get_array())
    if (auto Attempt = parseAttempt(Element))
      Attempts.push_back(std::move(*Attempt));
  return Attempts;
}

boost::asio::awaitable<std::optional<std::vector<attempt_id>>>
listAttempts(backend_connection_pool &Pool, const relay_limits &Limits, backend_key Backend) {
  const auto Answer =
      co_await unaryCall(Pool, Limits, Backend, listHead(Backend), {}, MaxListBytes);
  if (!Answer || Answer->Status != Ok)
    co_return std::nullopt;
  co_return parseAttempts(Answer->Body);
}

} // namespace pollenstall
