/** @file header_filter.cpp Removes hop-by-hop headers and the system's own headers. */
#include "relay/header_filter_func.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace pollenstall {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 11> HopByHop{"connection",
                                                    "keep-alive",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "proxy-connection",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade",
                                                    "content-length",
                                                    "http2-settings"};

/// Replaced by the entry, or meant for the entry only.
constexpr std::array<std::string_view, 7> EntryOnly{
    "authorization",       "host", "expect", "traceparent", "x-request-id", "x-prompt-tokens",
    "x-request-timeout-ms"};

/// Converts to lower case and "_" to "-": CGI-like servers treat both spellings as one name.
std::string folded(std::string_view Name) {
  std::string Text(Name);
  for (char &Character : Text) {
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
    if (Character == '_')
      Character = '-';
  }
  return Text;
}

template <typename Table> bool contains(const Table &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::vector<std::string> namedByConnection(const http::fields &Fields) {
  std::vector<std::string> Names;
  const auto [From, To] = Fields.equal_range(http::field::connection);
  for (auto At = From; At != To; ++At)
    for (const auto &Token : http::token_list(At->value()))
      Names.push_back(folded({Token.data(), Token.size()}));
  return Names;
}

template <typename Drop>
std::vector<header_line> filtered(const http::fields &Fields, const Drop &IsDropped) {
  const std::vector<std::string> Named = namedByConnection(Fields);
  std::vector<header_line> Lines;
  for (const auto &Field : Fields) {
    const std::string_view Name(Field.name_string().data(), Field.name_string().size());
    const std::string Folded = folded(Name);
    if (contains(HopByHop, Folded) || contains(Named, Folded) || IsDropped(Folded))
      continue;
    Lines.push_back({std::string(Name), std::string(Field.value().data(), Field.value().size())});
  }
  return Lines;
}

} // namespace

bool isReservedHeader(std::string_view Name) { return folded(Name).starts_with("x-pollenstall-"); }

std::vector<header_line> forwardedRequestHeaders(const http::fields &Fields) {
  return filtered(Fields, [](const std::string &Name) {
    return isReservedHeader(Name) || contains(EntryOnly, Name);
  });
}

std::vector<header_line> forwardedAnswerHeaders(const http::fields &Fields) {
  return filtered(Fields, [](const std::string &Name) {
    return isReservedHeader(Name) || Name == "x-request-id";
  });
}

std::vector<header_line>
endToEndHeaders(const http::fields &Fields,
                const std::function<bool(std::string_view Name)> &IsDropped) {
  return filtered(Fields, [&IsDropped](const std::string &Name) { return IsDropped(Name); });
}

} // namespace pollenstall
