/** @file load_run.cpp Sending threads, each with its own connections. */
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

constexpr std::int64_t MaxOpenRequests = 20'000; ///< Below the limit of sockets per process.

std::vector<length_class> parseMix(const load_settings &Settings) {
  std::vector<length_class> Mix;
  for (const std::string &Text : Settings.Mix)
    if (const auto Class = parseLengthClass(Text))
      Mix.push_back(*Class);
  if (Mix.empty())
    Mix.push_back({"short", 1000, 1});
  return Mix;
}

std::vector<std::string> classNames(const std::vector<length_class> &Mix) {
  std::vector<std::string> Names;
  Names.reserve(Mix.size());
  for (const length_class &Class : Mix)
    Names.push_back(Class.Name);
  return Names;
}

/// A sending thread, with its share of the requests.
class sending_thread {
public:
  sending_thread(const load_settings &RunSettings, std::int64_t ThreadNumber)
      : Settings(RunSettings), Mix(parseMix(RunSettings)), Report(classNames(Mix)),
        Thread(ThreadNumber), Random(combineHashes(static_cast<std::uint64_t>(RunSettings.Seed),
                                                   static_cast<std::uint64_t>(ThreadNumber))),
        IoContext(1), Timer(IoContext) {
    RemainingRequests = share(Settings.Count);
    for (const std::string &Target : Settings.Targets)
      if (const auto Endpoint = tcpEndpoint(Target))
        Targets.push_back(*Endpoint);
    IdleConnections.resize(Targets.size());
  }

  load_report run() {
    StopAt = clock::now() + Settings.Duration;
    NextArrival = clock::now();
    if (Settings.Rate > 0) {
      scheduleArrival();
    } else {
      for (std::int64_t ToStart = share(Settings.Concurrency); ToStart > 0; --ToStart)
        startNext(clock::now());
    }
    IoContext.run();
    return std::move(Report);
  }

private:
  /// @return This thread's share of a total.
  [[nodiscard]] std::int64_t share(std::int64_t Total) const {
    return Total / Settings.Threads + (Thread < Total % Settings.Threads ? 1 : 0);
  }

  void scheduleArrival() {
    const double Mean = static_cast<double>(Settings.Threads) / Settings.Rate;
    const std::chrono::duration<double> Gap(-Mean * std::log(1.0 - Random.uniform()));
    NextArrival += std::chrono::duration_cast<clock::duration>(Gap);
    if (RemainingRequests == 0 || NextArrival >= StopAt)
      return;
    Timer.expires_at(NextArrival);
    Timer.async_wait([this](boost::system::error_code) {
      startNext(NextArrival);
      scheduleArrival();
    });
  }

  void startNext(clock::time_point ScheduledAt) {
    if (RemainingRequests == 0 || clock::now() >= StopAt)
      return;
    --RemainingRequests;
    const std::size_t Class = pickClass();
    if (OpenRequests >= MaxOpenRequests) {
      load_sample Sample;
      Sample.Class = Class;
      Sample.Outcome = load_outcome::NotSent;
      Report.add(Sample);
      return;
    }
    start(Class, ScheduledAt);
  }

  std::size_t pickClass() {
    double Sum = 0;
    for (const length_class &Class : Mix)
      Sum += Class.Weight;
    double Draw = Random.uniform() * Sum;
    for (std::size_t Class = 0; Class + 1 < Mix.size(); ++Class) {
      Draw -= Mix[Class].Weight;
      if (Draw < 0)
        return Class;
    }
    return Mix.size() - 1;
  }

  void start(std::size_t Class, clock::time_point ScheduledAt) {
    const std::uint64_t Number = StartedRequests++ * static_cast<std::uint64_t>(Settings.Threads) +
                                 static_cast<std::uint64_t>(Thread);
    const std::size_t Target = Number % Targets.size();
    load_call_plan Plan;
    Plan.Class = Class;
    Plan.Stream = std::cmp_less(Random.below(100), Settings.StreamPercent);
    Plan.AnswerTokens = Settings.AnswerTokens;
    Plan.ScheduledAt = ScheduledAt;
    Plan.Timeout = Settings.Timeout;
    Plan.Target = Targets[Target];
    const auto Group = Random.below(static_cast<std::uint64_t>(Settings.PrefixGroups));
    load_prompt Prompt = makePrompt(Settings, Mix[Class], Number, Group, Plan.Stream);
    Plan.PromptHash = Prompt.Hash;
    Plan.Request = requestFor(Target, std::move(Prompt.Body));
    ++OpenRequests;
    const auto OnEnd = [this, Target](const load_sample &Sample, load_connection_ptr Connection) {
      --OpenRequests;
      Report.add(Sample);
      if (Connection)
        IdleConnections[Target].push_back(std::move(Connection));
      if (Settings.Rate == 0)
        boost::asio::post(IoContext, [this] { startNext(clock::now()); });
    };
    std::make_shared<load_call>(std::move(Plan), connectionTo(Target), OnEnd)->start();
  }

  load_connection_ptr connectionTo(std::size_t Target) {
    while (!IdleConnections[Target].empty()) {
      load_connection_ptr Connection = std::move(IdleConnections[Target].back());
      IdleConnections[Target].pop_back();
      if (!Connection->closedByPeer())
        return Connection;
    }
    return std::make_unique<load_connection>(IoContext);
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
  boost::asio::io_context IoContext;
  boost::asio::steady_timer Timer;
  std::vector<boost::asio::ip::tcp::endpoint> Targets;
  std::vector<std::vector<load_connection_ptr>> IdleConnections;
  clock::time_point StopAt;
  clock::time_point NextArrival;
  std::int64_t RemainingRequests{0};
  std::int64_t OpenRequests{0};
  std::uint64_t StartedRequests{0};
};

} // namespace

load_metrics runLoad(const load_settings &Settings) {
  const auto Begin = clock::now();
  std::vector<std::future<load_report>> Results;
  for (std::int64_t Thread = 0; Thread < Settings.Threads; ++Thread)
    Results.push_back(std::async(std::launch::async, [&Settings, Thread] {
      return sending_thread(Settings, Thread).run();
    }));
  load_report Report(classNames(parseMix(Settings)));
  for (auto &Result : Results)
    Report.add(Result.get());
  return Report.metrics(clock::now() - Begin);
}

} // namespace pollenstall
