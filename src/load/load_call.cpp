/** @file load_call.cpp The steps of a request, built on Boost.Beast. */
#include "load/load_call_base.h"

#include <limits>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

bool load_connection::closedByPeer() {
  char Byte = 0;
  boost::system::error_code Error;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(boost::asio::buffer(&Byte, 1), boost::asio::socket_base::message_peek,
                          Error);
  return Error != boost::asio::error::would_block;
}

load_call::load_call(load_call_plan Parameters, load_connection_ptr InitialConnection,
                     end_callback Callback)
    : Plan(std::move(Parameters)), Connection(std::move(InitialConnection)),
      EndCallback(std::move(Callback)), Check(Plan.PromptHash, Plan.AnswerTokens) {
  Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  Sample.Class = Plan.Class;
}

void load_call::start() {
  Connection->Stream.expires_at(Plan.ScheduledAt + Plan.Timeout);
  if (Connection->Connected) {
    write();
    return;
  }
  Connection->Stream.async_connect(
      Plan.Target, [Self = shared_from_this()](boost::system::error_code Error) {
        if (Error) {
          Self->fail(Error);
          return;
        }
        boost::system::error_code Ignored;
        Self->Connection->Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
        Self->Connection->Connected = true;
        Self->write();
      });
}

void load_call::write() {
  http::async_write(Connection->Stream, Plan.Request,
                    [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
                      // The server may refuse the request before it has read the whole body, so
                      // read the response after a write error too.
                      if (Error == boost::beast::error::timeout)
                        Self->fail(Error);
                      else
                        Self->readHead();
                    });
}

void load_call::readHead() {
  http::async_read_header(
      Connection->Stream, Connection->Buffer, Parser,
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
        if (Error) {
          Self->fail(Error);
          return;
        }
        Self->Sample.Status = static_cast<int>(Self->Parser.get().result_int());
        Self->readBody();
      });
}

void load_call::readBody() {
  if (Parser.is_done()) {
    processBody();
    return;
  }
  http::async_read_some(Connection->Stream, Connection->Buffer, Parser,
                        [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
                          if (Error)
                            Self->fail(Error);
                          else
                            Self->processBody();
                        });
}

void load_call::processBody() {
  const bool Ok = Parser.get().result() == http::status::ok;
  const bool Streamed = Ok && Plan.Stream;
  if (Streamed) {
    if (Check.appendStream(Parser.get().body()))
      Sample.FirstToken = clock::now() - Plan.ScheduledAt;
    Parser.get().body().clear();
  }
  if (!Parser.is_done()) {
    readBody();
    return;
  }
  load_outcome Outcome = load_outcome::Unknown;
  if (Streamed)
    Outcome = Check.streamOutcome(true);
  else if (Ok)
    Outcome = Check.nonStreamedOutcome(Parser.get().body());
  else if (Parser.get()["X-Pollenstall-Started"] == "no")
    Outcome = load_outcome::NotRun;
  else
    Outcome = answer_check::errorOutcome(Parser.get().body());
  end(Outcome, Parser.keep_alive());
}

void load_call::fail(boost::system::error_code Error) {
  if (Error == boost::beast::error::timeout) {
    end(load_outcome::TimedOut, false);
    return;
  }
  const bool Streamed = Parser.is_header_done() && Plan.Stream && Sample.Status == 200;
  if (Streamed)
    end(Check.streamOutcome(false), false);
  else if (Parser.is_header_done())
    end(load_outcome::Cut, false);
  else
    end(load_outcome::Refused, false);
}

void load_call::end(load_outcome Outcome, bool Reuse) {
  Sample.Outcome = Outcome;
  Sample.Events = Check.events();
  Sample.Total = clock::now() - Plan.ScheduledAt;
  if (!Reuse)
    Connection.reset();
  EndCallback(Sample, std::move(Connection));
}

} // namespace pollenstall
