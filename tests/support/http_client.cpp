/** @file http_client.cpp Runs asynchronous operations of Boost.Beast to their end or time limit. */
#include "support/http_client_base.h"

#include <boost/asio/ip/tcp.hpp>

#include <limits>

namespace pollenstall {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using http_request = http::request<http::string_body>;

namespace {

tcp::endpoint endpointOf(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  boost::system::error_code Ignored;
  const auto Host = boost::asio::ip::make_address(Address.substr(0, Colon), Ignored);
  return {Host, static_cast<std::uint16_t>(std::strtoul(Address.c_str() + Colon + 1, nullptr, 10))};
}

http_request makeRequest(const std::string &Address, const std::string &Method,
                         const std::string &Target, const std::string &Body,
                         const http_headers &Headers) {
  http_request Request;
  Request.method_string(Method);
  Request.target(Target);
  Request.set(http::field::host, Address);
  if (!Body.empty())
    Request.set(http::field::content_type, "application/json");
  for (const auto &[Name, Value] : Headers)
    Request.set(Name, Value);
  Request.body() = Body;
  Request.prepare_payload();
  return Request;
}

} // namespace

std::string http_answer::header(const std::string &Name) const {
  for (const auto &[Field, Value] : Headers)
    if (boost::beast::iequals(Field, Name))
      return Value;
  return {};
}

boost::json::value http_answer::json() const {
  boost::json::error_code Failed;
  boost::json::value Value = boost::json::parse(Body, Failed);
  return Failed ? boost::json::value() : Value;
}

http_answer http_client::request(const std::string &Method, const std::string &Target,
                                 const std::string &Body, const http_headers &Headers) const {
  boost::asio::io_context Io;
  boost::beast::tcp_stream Stream(Io);
  boost::beast::flat_buffer Buffer;
  const http_request Request = makeRequest(Address, Method, Target, Body, Headers);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser.skip(Method == "HEAD");
  boost::system::error_code Failed;
  const auto Run = [&Io, &Failed] {
    Io.restart();
    Io.run();
    return !Failed;
  };
  const auto Note = [&Failed](boost::system::error_code Result, std::size_t) { Failed = Result; };
  Stream.expires_after(TimeLimit);
  Stream.async_connect(endpointOf(Address),
                       [&Failed](boost::system::error_code Result) { Failed = Result; });
  if (Run()) {
    http::async_write(Stream, Request, Note);
    // The server may answer before it has read the whole body. The answer is valid even if the
    // write failed.
    Run();
    http::async_read(Stream, Buffer, Parser, Note);
    Run();
  }
  http_answer Answer;
  if (Failed)
    Answer.Error = Failed.message();
  if (!Parser.is_header_done())
    return Answer;
  Answer.Status = static_cast<int>(Parser.get().result_int());
  for (const auto &Field : Parser.get())
    Answer.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  Answer.Body = Parser.get().body();
  return Answer;
}

http_stream::http_stream(const std::string &Address, const std::string &Method,
                         const std::string &Target, const std::string &Body,
                         const http_headers &Headers, std::chrono::milliseconds Limit)
    : Stream(Io), TimeLimit(Limit) {
  Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  const auto Note = [this](boost::system::error_code Result, std::size_t) {
    Error = Result ? Result.message() : std::string();
  };
  Stream.expires_after(TimeLimit);
  Stream.async_connect(endpointOf(Address),
                       [Note](boost::system::error_code Result) { Note(Result, 0); });
  if (!runStep())
    return;
  const http_request Request = makeRequest(Address, Method, Target, Body, Headers);
  http::async_write(Stream, Request, Note);
  if (!runStep())
    return;
  http::async_read_header(Stream, Buffer, Parser, Note);
  if (runStep())
    Status = static_cast<int>(Parser.get().result_int());
}

bool http_stream::runStep() {
  Io.restart();
  Io.run();
  return Error.empty();
}

std::string http_stream::header(const std::string &Name) const {
  const auto Found = Parser.get().find(Name);
  return Found == Parser.get().end() ? std::string() : std::string(Found->value());
}

void http_stream::readMore() {
  Stream.expires_after(TimeLimit);
  http::async_read_some(Stream, Buffer, Parser,
                        [this](boost::system::error_code Result, std::size_t) {
                          Error = Result ? Result.message() : std::string();
                        });
  runStep();
  Text += std::exchange(Parser.get().body(), {});
}

std::optional<sse_event> http_stream::takeEvent() {
  const auto End = Text.find("\n\n");
  if (End == std::string::npos)
    return std::nullopt;
  sse_event Event;
  std::string Lines = Text.substr(0, End + 1);
  Text.erase(0, End + 2);
  for (auto Break = Lines.find('\n'); Break != std::string::npos; Break = Lines.find('\n')) {
    const std::string Line = Lines.substr(0, Break);
    Lines.erase(0, Break + 1);
    if (Line.starts_with("id: "))
      Event.Id = Line.substr(4);
    else if (Line.starts_with("data: "))
      Event.Data += Line.substr(6);
  }
  return Event;
}

std::optional<sse_event> http_stream::next() {
  while (true) {
    if (auto Event = takeEvent()) {
      if (!Event->Data.empty())
        return Event;
      continue; // a comment
    }
    if (!Error.empty() || Parser.is_done())
      return std::nullopt;
    readMore();
  }
}

std::vector<sse_event> http_stream::remainingEvents() {
  std::vector<sse_event> Events;
  while (auto Event = next())
    Events.push_back(std::move(*Event));
  return Events;
}

bool http_stream::endedCleanly() const { return Parser.is_done(); }

void http_stream::close() { Stream.close(); }

std::string chatBody(const std::string &Model, const std::string &Prompt, bool Stream,
                     int AnswerTokens) {
  boost::json::object Body{
      {"model", Model},
      {"stream", Stream},
      {"messages", boost::json::array{{{"role", "user"}, {"content", Prompt}}}}};
  if (AnswerTokens > 0)
    Body["max_tokens"] = AnswerTokens;
  return boost::json::serialize(Body);
}

} // namespace pollenstall
