/** @file announcer.cpp One short connection for each announcement. */
#include "fake_backend/announcer_base.h"

#include "address/address.h"
#include "program/program.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;

namespace {
constexpr std::chrono::seconds ExchangeLimit{1};
constexpr std::size_t EntriesKept = 64;
} // namespace

announcer::announcer(boost::asio::io_context &Io, std::vector<std::string> Entries,
                     std::string BearerKey, std::chrono::milliseconds Interval, body_hook MakeBody)
    : Context(Io), Timer(Io), Known(std::move(Entries)), Key(std::move(BearerKey)), Pause(Interval),
      Body(std::move(MakeBody)) {}

void announcer::announceNow(std::function<void()> Then) {
  AfterNext = std::move(Then);
  FailedInRow = 0;
  Timer.cancel();
  announce();
}

void announcer::announce() {
  const std::uint64_t Turn = ++LastTurn;
  const auto Endpoint = Known.empty() ? std::nullopt : tcpEndpoint(Known[Current]);
  const auto Exchange = std::make_shared<exchange_state>(Context);
  if (!Endpoint) {
    boost::asio::post(Context, [this, Exchange, Turn] { finish(Exchange, Turn, false); });
    return;
  }
  Exchange->Request = {http::verb::post, "/v1/announcements", 11};
  Exchange->Request.set(http::field::host, Known[Current]);
  Exchange->Request.set(http::field::authorization, "Bearer " + Key);
  Exchange->Request.set(http::field::content_type, "application/json");
  Exchange->Request.keep_alive(false);
  Exchange->Request.body() = Body();
  Exchange->Request.prepare_payload();
  Exchange->Stream.expires_after(ExchangeLimit);
  Exchange->Stream.async_connect(*Endpoint,
                                 [this, Exchange, Turn](boost::system::error_code Error) {
                                   if (Error)
                                     finish(Exchange, Turn, false);
                                   else
                                     write(Exchange, Turn);
                                 });
}

void announcer::write(const exchange_ptr &Exchange, std::uint64_t Turn) {
  const auto Read = [this, Exchange, Turn](boost::system::error_code Error, std::size_t) {
    finish(Exchange, Turn, !Error && Exchange->Response.result() == http::status::ok);
  };
  http::async_write(Exchange->Stream, Exchange->Request,
                    [this, Exchange, Turn, Read](boost::system::error_code Error, std::size_t) {
                      if (Error)
                        finish(Exchange, Turn, false);
                      else
                        http::async_read(Exchange->Stream, Exchange->Buffer, Exchange->Response,
                                         Read);
                    });
}

void announcer::finish(const exchange_ptr &Exchange, std::uint64_t Turn, bool Taken) {
  if (Turn != LastTurn)
    return;
  if (Taken) {
    FailedInRow = 0;
    addEntries(Exchange->Response.body());
  } else {
    const auto Status = static_cast<std::int64_t>(Exchange->Response.result_int());
    logEvent(log_level::Debug, "announcement_failed", {{"status", Status}});
    Current = Known.empty() ? 0 : (Current + 1) % Known.size();
    if (++FailedInRow < Known.size()) {
      announce();
      return;
    }
    FailedInRow = 0;
  }
  if (const auto Then = std::exchange(AfterNext, nullptr))
    Then();
  scheduleNext();
}

void announcer::addEntries(const std::string &Answer) {
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Answer, Error);
  if (Error || !Value.is_object())
    return;
  const boost::json::value *List = Value.get_object().if_contains("announce_to");
  if (!List || !List->is_array())
    return;
  for (const boost::json::value &Item : List->get_array()) {
    if (!Item.is_string() || Known.size() >= EntriesKept)
      continue;
    const std::string Address(Item.get_string());
    if (tcpEndpoint(Address) && std::find(Known.begin(), Known.end(), Address) == Known.end())
      Known.push_back(Address);
  }
}

void announcer::scheduleNext() {
  Timer.expires_after(Pause);
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      announce();
  });
}

} // namespace pollenstall
