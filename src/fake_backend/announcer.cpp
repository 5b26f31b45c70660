/** @file announcer.cpp Opens one short connection for each announcement. */
#include "fake_backend/announcer_base.h"

#include "address/address.h"
#include "program/program.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;

namespace {
constexpr std::chrono::seconds ExchangeTimeout{1};
constexpr std::size_t MaxEntries = 64;
} // namespace

announcer::announcer(boost::asio::io_context &Io, std::vector<std::string> InitialEntries,
                     std::string BearerKey, std::chrono::milliseconds IntervalBetween,
                     body_builder BodyBuilder)
    : Context(Io), Timer(Io), EntryAddresses(std::move(InitialEntries)), Key(std::move(BearerKey)),
      AnnounceInterval(IntervalBetween), BuildBody(std::move(BodyBuilder)) {}

void announcer::announceNow(std::function<void()> OnComplete) {
  OnAnnounced = std::move(OnComplete);
  ConsecutiveFailures = 0;
  Timer.cancel();
  announce();
}

void announcer::announce() {
  const std::uint64_t ExchangeId = ++LastExchangeId;
  const auto Endpoint =
      EntryAddresses.empty() ? std::nullopt : tcpEndpoint(EntryAddresses[CurrentEntry]);
  const auto Exchange = std::make_shared<exchange_state>(Context);
  if (!Endpoint) {
    boost::asio::post(Context,
                      [this, Exchange, ExchangeId] { finish(Exchange, ExchangeId, false); });
    return;
  }
  Exchange->Request = {http::verb::post, "/v1/announcements", 11};
  Exchange->Request.set(http::field::host, EntryAddresses[CurrentEntry]);
  Exchange->Request.set(http::field::authorization, "Bearer " + Key);
  Exchange->Request.set(http::field::content_type, "application/json");
  Exchange->Request.keep_alive(false);
  Exchange->Request.body() = BuildBody();
  Exchange->Request.prepare_payload();
  Exchange->Stream.expires_after(ExchangeTimeout);
  Exchange->Stream.async_connect(*Endpoint,
                                 [this, Exchange, ExchangeId](boost::system::error_code Error) {
                                   if (Error)
                                     finish(Exchange, ExchangeId, false);
                                   else
                                     write(Exchange, ExchangeId);
                                 });
}

void announcer::write(const exchange_ptr &Exchange, std::uint64_t ExchangeId) {
  const auto Read = [this, Exchange, ExchangeId](boost::system::error_code Error, std::size_t) {
    finish(Exchange, ExchangeId, !Error && Exchange->Response.result() == http::status::ok);
  };
  http::async_write(
      Exchange->Stream, Exchange->Request,
      [this, Exchange, ExchangeId, Read](boost::system::error_code Error, std::size_t) {
        if (Error)
          finish(Exchange, ExchangeId, false);
        else
          http::async_read(Exchange->Stream, Exchange->Buffer, Exchange->Response, Read);
      });
}

void announcer::finish(const exchange_ptr &Exchange, std::uint64_t ExchangeId, bool Accepted) {
  if (ExchangeId != LastExchangeId)
    return;
  if (Accepted) {
    ConsecutiveFailures = 0;
    addEntries(Exchange->Response.body());
  } else {
    const auto Status = static_cast<std::int64_t>(Exchange->Response.result_int());
    logEvent(log_level::Debug, "announcement_failed", {{"status", Status}});
    CurrentEntry = EntryAddresses.empty() ? 0 : (CurrentEntry + 1) % EntryAddresses.size();
    if (++ConsecutiveFailures < EntryAddresses.size()) {
      announce();
      return;
    }
    ConsecutiveFailures = 0;
  }
  if (const auto OnComplete = std::exchange(OnAnnounced, nullptr))
    OnComplete();
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
  for (const boost::json::value &EntryAddress : List->get_array()) {
    if (!EntryAddress.is_string() || EntryAddresses.size() >= MaxEntries)
      continue;
    const std::string Address(EntryAddress.get_string());
    if (tcpEndpoint(Address) &&
        std::find(EntryAddresses.begin(), EntryAddresses.end(), Address) == EntryAddresses.end())
      EntryAddresses.push_back(Address);
  }
}

void announcer::scheduleNext() {
  Timer.expires_after(AnnounceInterval);
  Timer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      announce();
  });
}

} // namespace pollenstall
