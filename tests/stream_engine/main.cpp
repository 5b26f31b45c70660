/** @file main.cpp pollenstall-stream-engine: streams numbered events over the platform protocol.
 *
 * usage: pollenstall-stream-engine INSTANCE EVENTS INTERVAL_MS CONTROL_ADDRESS...
 * Listens on a free port, announces itself to the control hosts, and logs each run that it starts.
 */
#include "support/test_support.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace pollenstall;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds AnnounceInterval{300};
constexpr std::chrono::milliseconds AnnounceLimit{1'000};
constexpr int Ok = 200;
constexpr int Redirect = 307;

struct engine_options {
  std::string Instance;
  int Events{0};
  std::chrono::milliseconds Interval{0};
  std::vector<std::string> Controls;
};

void logLine(const boost::json::object &Line) {
  static std::mutex Guard;
  const std::lock_guard<std::mutex> Lock(Guard);
  std::cerr << boost::json::serialize(Line) << std::endl;
}

std::string headerOf(const std::string &Head, const std::string &Name) {
  const std::string Key = "\r\n" + Name + ": ";
  const std::size_t At = Head.find(Key);
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Key.size();
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

/// Writes text. @return Whether the peer is still there.
bool writeText(tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code Code;
  asio::write(Socket, asio::buffer(Text), Code);
  return !Code;
}

/// Answers one request with the events after the one that it names.
void serve(const engine_options &Options, tcp::socket Socket) {
  boost::system::error_code Code;
  std::string Head;
  asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Code);
  if (Code)
    return;
  const std::string Send = headerOf(Head, "Attempt-Id");
  const std::string After = headerOf(Head, "Last-Event-Id");
  const int First = After.empty() ? 1 : std::stoi(After) + 1;
  logLine({{"event", "run_started"}, {"send", Send}, {"first", First}});
  std::this_thread::sleep_for(Options.Interval);
  bool Connected = writeText(Socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Send +
                                         "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
  for (int Id = First; Connected && Id <= Options.Events; ++Id) {
    Connected = writeText(Socket, chunkOf(eventText(Id)));
    std::this_thread::sleep_for(Options.Interval);
  }
  if (Connected)
    writeText(Socket, "0\r\n\r\n");
}

/// Sends one announcement to the control hosts in turn, until one acknowledges it.
void announce(const engine_options &Options, const std::string &Address, int Sequence) {
  const std::string Body = R"({"service":"s1","address":")" + Address +
                           R"(","zone":"zone-1","version":"v1","slots":16,"state":"ready",)" +
                           R"("cold_remaining_ms":0,"sequence":)" + std::to_string(Sequence) + "}";
  const std::string Path = "/pollenstall/instances/" + Options.Instance;
  for (std::string Control : Options.Controls)
    for (int Follows = 0; Follows <= 2; ++Follows) {
      const http_answer Answer = http_client(Control, AnnounceLimit).request("PUT", Path, Body, {});
      if (Answer.Status == Ok)
        return;
      if (Answer.Status != Redirect)
        break;
      const std::string Location = Answer.header("Location");
      const std::size_t Begin = Location.find("//") + 2;
      Control = Location.substr(Begin, Location.find('/', Begin) - Begin);
    }
}

void run(const engine_options &Options) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  logLine({{"event", "listening"}, {"address", Address}});
  std::thread([&Options, Address] {
    for (int Sequence = 1;; ++Sequence) {
      announce(Options, Address, Sequence);
      std::this_thread::sleep_for(AnnounceInterval);
    }
  }).detach();
  while (true)
    std::thread([&Options, Socket = Acceptor.accept()]() mutable {
      serve(Options, std::move(Socket));
    }).detach();
}

} // namespace

int main(int Count, char **Values) {
  constexpr int FirstControl = 4;
  if (Count <= FirstControl) {
    std::cerr << "usage: pollenstall-stream-engine INSTANCE EVENTS INTERVAL_MS CONTROL...\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const engine_options Options{Values[1],
                               std::stoi(Values[2]),
                               std::chrono::milliseconds(std::stoi(Values[3])),
                               {Values + FirstControl, Values + Count}};
  run(Options);
}
