/** @file usage.cpp Reads the "usage" object of chat/completions answers. */
#include "relay/usage_func.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr std::string_view UsageKey = "\"usage\"";

/// Returns the object that starts at the first brace of Text, up to its closing brace.
std::string_view firstObject(std::string_view Text) {
  const std::size_t Open = Text.find('{');
  if (Open == std::string_view::npos)
    return {};
  int Depth = 0;
  for (std::size_t At = Open; At < Text.size(); ++At) {
    Depth += Text[At] == '{' ? 1 : 0;
    Depth -= Text[At] == '}' ? 1 : 0;
    if (Depth == 0)
      return Text.substr(Open, At - Open + 1);
  }
  return {};
}

std::optional<tokens> tokenCount(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  const std::int64_t *Count = Value ? Value->if_int64() : nullptr;
  if (!Count || *Count < 0)
    return std::nullopt;
  return tokens(*Count);
}

} // namespace

engine_usage parseUsage(std::string_view Tail) {
  const std::size_t At = Tail.rfind(UsageKey);
  if (At == std::string_view::npos)
    return {};
  json::error_code Code;
  const json::value Parsed = json::parse(firstObject(Tail.substr(At)), Code);
  const json::object *Usage = Code ? nullptr : Parsed.if_object();
  if (!Usage)
    return {};
  engine_usage Found;
  Found.PromptTokens = tokenCount(*Usage, "prompt_tokens");
  Found.AnswerTokens = tokenCount(*Usage, "completion_tokens");
  const json::value *Details = Usage->if_contains("prompt_tokens_details");
  if (Details && Details->is_object())
    Found.CachedTokens = tokenCount(Details->get_object(), "cached_tokens");
  return Found;
}

} // namespace pollenstall
