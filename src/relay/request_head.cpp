/** @file request_head.cpp Strict parsing of request heads. */
#include "relay/request_head_func.h"

#include "relay/call_error_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <limits>
#include <optional>

namespace pollenstall {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion11 = 11;
constexpr unsigned VersionNotSupported = 505;

/// Checks the raw bytes for errors that a lenient parser would accept.
std::optional<call_error> checkLines(std::string_view Bytes) {
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    const char Byte = Bytes[At];
    if (Byte == '\0')
      return invalidField("headers", "must not contain NUL");
    if (Byte == '\n' && (At == 0 || Bytes[At - 1] != '\r'))
      return invalidField("headers", "lines must end in CR LF");
    if (Byte == '\r' && (At + 1 == Bytes.size() || Bytes[At + 1] != '\n'))
      return invalidField("headers", "CR must be followed by LF");
    if (Byte == '\n' && At + 1 < Bytes.size() && (Bytes[At + 1] == ' ' || Bytes[At + 1] == '\t'))
      return invalidField("headers", "folded header lines are not allowed");
  }
  return std::nullopt;
}

std::size_t countOf(const http::fields &Fields, http::field Name) { return Fields.count(Name); }

std::optional<call_error> checkFraming(const http::fields &Fields) {
  const std::size_t Lengths = countOf(Fields, http::field::content_length);
  const std::size_t Codings = countOf(Fields, http::field::transfer_encoding);
  if (Lengths > 0 && Codings > 0)
    return invalidField("Content-Length", "must not be combined with Transfer-Encoding");
  if (Lengths > 1)
    return invalidField("Content-Length", "must appear exactly once");
  // The parser accepts "3, 3" as 3, as a proxy may; another parser may not.
  const auto Length = Fields[http::field::content_length];
  if (Length.find_first_not_of("0123456789") != boost::beast::string_view::npos)
    return invalidField("Content-Length", "must be a whole number");
  if (Codings > 1)
    return invalidField("Transfer-Encoding", "must appear exactly once");
  if (Codings == 1 && !boost::beast::iequals(Fields[http::field::transfer_encoding], "chunked"))
    return invalidField("Transfer-Encoding", "must be \"chunked\"");
  if (countOf(Fields, http::field::host) != 1)
    return invalidField("Host", "must appear exactly once");
  return std::nullopt;
}

/// Checks Content-Length and Transfer-Encoding on the raw bytes, so that the error names the
/// header; the parser only refuses the combination.
std::optional<call_error> checkBothLengths(std::string_view Bytes) {
  bool Length = false;
  bool Coding = false;
  std::size_t Lengths = 0;
  while (!Bytes.empty()) {
    const std::size_t End = std::min(Bytes.find("\r\n"), Bytes.size());
    const std::string_view Line = Bytes.substr(0, End);
    const std::string_view Name = Line.substr(0, std::min(Line.find(':'), Line.size()));
    const boost::beast::string_view Compared(Name.data(), Name.size());
    if (boost::beast::iequals(Compared, "Content-Length")) {
      Length = true;
      ++Lengths;
    }
    Coding = Coding || boost::beast::iequals(Compared, "Transfer-Encoding");
    Bytes.remove_prefix(std::min(End + 2, Bytes.size()));
  }
  if (Length && Coding)
    return invalidField("Content-Length", "must not be combined with Transfer-Encoding");
  if (Lengths > 1)
    return invalidField("Content-Length", "must appear exactly once");
  return std::nullopt;
}

call_error parseError(const boost::system::error_code &Code) {
  if (Code == http::error::bad_content_length)
    return invalidField("Content-Length", "must be a whole number");
  if (Code == http::error::bad_transfer_encoding)
    return invalidField("Transfer-Encoding", "must be \"chunked\"");
  if (Code == http::error::bad_version)
    return refusal(VersionNotSupported, "invalid_request_error", "version_not_supported", "version",
                   "must be HTTP/1.1");
  return invalidField("headers", "are not valid HTTP/1.1: " + Code.message());
}

} // namespace

result<request_head, call_error> readRequestHead(std::string_view Bytes) {
  if (const auto Error = checkLines(Bytes))
    return *Error;
  if (const auto Error = checkBothLengths(Bytes))
    return *Error;
  http::request_parser<http::empty_body> Parser;
  Parser.header_limit(
      std::numeric_limits<std::uint32_t>::max()); // The reader has already limited the size.
  Parser.body_limit(boost::none);
  boost::system::error_code Code;
  Parser.put(boost::asio::buffer(Bytes.data(), Bytes.size()), Code);
  if (Code && Code != http::error::need_more)
    return parseError(Code);
  if (!Parser.is_header_done())
    return invalidField("headers", "are not complete");
  auto &Message = Parser.get();
  if (Message.version() != HttpVersion11)
    return parseError(make_error_code(http::error::bad_version));
  if (const auto Error = checkFraming(Message))
    return *Error;
  request_head Head;
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  if (Head.Target.empty() || Head.Target.front() != '/')
    return invalidField("path", "must start with \"/\"");
  Head.Chunked = Parser.chunked();
  if (const auto Length = Parser.content_length())
    Head.ContentLength = static_cast<std::size_t>(*Length);
  Head.KeepAlive = Message.keep_alive();
  Head.ExpectsContinue = boost::beast::iequals(Message[http::field::expect], "100-continue");
  Head.Fields = std::move(Message.base());
  return Head;
}

} // namespace pollenstall
