/** @file load_run.cpp Arrivals on one or more threads, each with its own connections. */
#include "address/address.h"
#include "core/core.h"
#include "fake_backend/fake_backend.h"
#include "load/load_call_base.h"
#include "load/load_report_base.h"
#include "load/load_run_func.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cmath>
#include <future>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::int64_t OpenLimit = 20'000; ///< Under what one process may have of sockets.

std::vector<length_class> mixOf(const load_settings &Settings) {
  std::vector<length_class> Mix;
  for (const std::string &Text : Settings.Mix)
    if (const auto Class = parseLengthClass(Text))
      Mix.push_back(*Class);
  if (Mix.empty())
    Mix.push_back({"short", 1000, 1});
  return Mix;
}

std::vector<std::string> namesOf(const std::vector<length_class> &Mix) {
  std::vector<std::string> Names;
  Names.reserve(Mix.size());
  for (const length_class &Class : Mix)
    Names.push_back(Class.Name);
  return Names;
}

/// One thread's share of the arrivals.
class arrivals {
public:
  arrivals(const load_settings &Given, std::int64_t ThreadNumber)
      : Settings(Given), Mix(mixOf(Given)), Report(namesOf(Mix)), Thread(ThreadNumber),
        Random(combineHashes(static_cast<std::uint64_t>(Given.Seed),
                             static_cast<std::uint64_t>(ThreadNumber))),
        Io(1), Timer(Io) {
    Left = share(Settings.Count);
    for (const std::string &Target : Settings.Targets)
      if (const auto Endpoint = tcpEndpoint(Target))
        Targets.push_back(*Endpoint);
    Idle.resize(Targets.size());
  }

  load_report run() {
    StopAt = clock::now() + Settings.Duration;
    NextDue = clock::now();
    if (Settings.Rate > 0) {
      awaitArrival();
    } else {
      for (std::int64_t Place = share(Settings.Concurrency); Place > 0; --Place)
        startNext(clock::now());
    }
    Io.run();
    return std::move(Report);
  }

private:
  /// @return This thread's part of a number.
  [[nodiscard]] std::int64_t share(std::int64_t Whole) const {
    return Whole / Settings.Threads + (Thread < Whole % Settings.Threads ? 1 : 0);
  }

  void awaitArrival() {
    const double Mean = static_cast<double>(Settings.Threads) / Settings.Rate;
    const std::chrono::duration<double> Gap(-Mean * std::log(1.0 - Random.uniform()));
    NextDue += std::chrono::duration_cast<clock::duration>(Gap);
    if (Left == 0 || NextDue >= StopAt)
      return;
    Timer.expires_at(NextDue);
    Timer.async_wait([this](boost::system::error_code) {
      startNext(NextDue);
      awaitArrival();
    });
  }

  void startNext(clock::time_point Due) {
    if (Left == 0 || clock::now() >= StopAt)
      return;
    --Left;
    const std::size_t Class = pickClass();
    if (Open >= OpenLimit) {
      load_sample Sample;
      Sample.Class = Class;
      Sample.Outcome = load_outcome::NotSent;
      Report.add(Sample);
      return;
    }
    start(Class, Due);
  }

  std::size_t pickClass() {
    double Sum = 0;
    for (const length_class &Class : Mix)
      Sum += Class.Weight;
    double Place = Random.uniform() * Sum;
    for (std::size_t Class = 0; Class + 1 < Mix.size(); ++Class) {
      Place -= Mix[Class].Weight;
      if (Place < 0)
        return Class;
    }
    return Mix.size() - 1;
  }

  void start(std::size_t Class, clock::time_point Due) {
    const std::uint64_t Number = Started++ * static_cast<std::uint64_t>(Settings.Threads) +
                                 static_cast<std::uint64_t>(Thread);
    const std::size_t Target = Number % Targets.size();
    load_call_plan Plan;
    Plan.Class = Class;
    Plan.Stream = std::cmp_less(Random.below(100), Settings.StreamPercent);
    Plan.AnswerTokens = Settings.AnswerTokens;
    Plan.Due = Due;
    Plan.Timeout = Settings.Timeout;
    Plan.Target = Targets[Target];
    const auto Group = Random.below(static_cast<std::uint64_t>(Settings.PrefixGroups));
    load_prompt Prompt = makePrompt(Settings, Mix[Class], Number, Group, Plan.Stream);
    Plan.PromptHash = Prompt.Hash;
    Plan.Request = requestFor(Target, std::move(Prompt.Body));
    ++Open;
    const auto Ended = [this, Target](const load_sample &Sample, load_connection_ptr Connection) {
      --Open;
      Report.add(Sample);
      if (Connection)
        Idle[Target].push_back(std::move(Connection));
      if (Settings.Rate == 0)
        boost::asio::post(Io, [this] { startNext(clock::now()); });
    };
    std::make_shared<load_call>(std::move(Plan), connectionTo(Target), Ended)->start();
  }

  load_connection_ptr connectionTo(std::size_t Target) {
    while (!Idle[Target].empty()) {
      load_connection_ptr Connection = std::move(Idle[Target].back());
      Idle[Target].pop_back();
      if (!Connection->closedByPeer())
        return Connection;
    }
    return std::make_unique<load_connection>(Io);
  }

  http::request<http::string_body> requestFor(std::size_t Target, std::string &&Body) const {
    http::request<http::string_body> Request(http::verb::post, Settings.Path, 11);
    Request.set(http::field::host, Settings.Targets[Target]);
    Request.set(http::field::content_type, "application/json");
    if (!Settings.Key.empty())
      Request.set(http::field::authorization, "Bearer " + Settings.Key);
    for (const std::string &Header : Settings.Headers)
      Request.set(Header.substr(0, Header.find(": ")), Header.substr(Header.find(": ") + 2));
    Request.body() = std::move(Body);
    Request.prepare_payload();
    return Request;
  }

  const load_settings &Settings;
  std::vector<length_class> Mix;
  load_report Report;
  std::int64_t Thread;
  random_source Random;
  boost::asio::io_context Io;
  boost::asio::steady_timer Timer;
  std::vector<boost::asio::ip::tcp::endpoint> Targets;
  std::vector<std::vector<load_connection_ptr>> Idle;
  clock::time_point StopAt;
  clock::time_point NextDue;
  std::int64_t Left{0};
  std::int64_t Open{0};
  std::uint64_t Started{0};
};

} // namespace

load_metrics runLoad(const load_settings &Settings) {
  const auto Begin = clock::now();
  std::vector<std::future<load_report>> Parts;
  for (std::int64_t Thread = 0; Thread < Settings.Threads; ++Thread)
    Parts.push_back(std::async(std::launch::async,
                               [&Settings, Thread] { return arrivals(Settings, Thread).run(); }));
  load_report Report(namesOf(mixOf(Settings)));
  for (auto &Part : Parts)
    Report.add(Part.get());
  return Report.metrics(clock::now() - Begin);
}

} // namespace pollenstall
