/** @file cut_entries_test.cpp Streams at entries that lose their links to all servers at once. */
#include "dispatch/dispatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One entry's dispatcher before servers that accept all work.
class entry_world {
public:
  explicit entry_world(std::size_t Rank)
      : Self{host_name("entry-" + std::to_string(Rank)), incarnation(Rank + 1)},
        Dispatch(makeDispatcher()) {}

  void join(std::size_t Rank, const std::vector<std::string> &Addresses,
            const retry_allowance &Allowance, mono_time Now) {
    Dispatch.setRetryAllowance(Allowance, Now);
    retry_sharers Sharers{Addresses.size(), Rank, Addresses};
    Sharers.Others.erase(Sharers.Others.begin() + static_cast<std::ptrdiff_t>(Rank));
    Dispatch.sharedRetries()->setEntries(std::move(Sharers), Now);
    Dispatch.sharedRetries()->confirmContact(Now + std::chrono::minutes(1), Now);
  }
  void startStreams(std::size_t Count, mono_time Now) {
    for (std::uint64_t Stream = 1; Stream <= Count; ++Stream) {
      request_facts Facts;
      Facts.Id = request_number(Stream);
      Facts.Services.emplace_back(service_name("llm"), 1);
      Facts.Resumable = true;
      Facts.MaxAttempts = 2;
      Facts.Arrived = Now;
      Facts.Deadline = Now + seconds(60);
      Dispatch.handle(request_arrived{Facts}, Now);
      placeSubmitted(Now);
      Dispatch.handle(attempt_sending{firstAttempt(Stream)}, Now);
      Dispatch.handle(attempt_answering{firstAttempt(Stream)}, Now);
    }
    Streams = Count;
  }
  /// Reports the first attempts of all streams as silent.
  void loseLinks(mono_time Now) {
    for (std::uint64_t Stream = 1; Stream <= Streams; ++Stream)
      Dispatch.handle(attempt_silent{firstAttempt(Stream)}, Now);
    placeSubmitted(Now);
  }
  void advance(mono_time Now) {
    Dispatch.advance(Now);
    placeSubmitted(Now);
  }
  void receive(const received_retry_message &Message, mono_time Now) {
    Dispatch.receiveRetryMessage(Message, Now);
    placeSubmitted(Now);
  }
  std::vector<retry_datagram> takeDatagrams(mono_time Now) {
    return Dispatch.sharedRetries()->takeDatagrams(Now);
  }
  /// @return Attempts that were started beside silent ones.
  [[nodiscard]] std::size_t secondAttempts() const { return Starts - Streams; }

private:
  [[nodiscard]] attempt_id firstAttempt(std::uint64_t Stream) const {
    return {Self, request_number(Stream), 1};
  }
  dispatcher makeDispatcher() {
    dispatcher_callbacks Callbacks;
    Callbacks.Submit = [this](const work_item &Item, mono_time) -> result<done, work_refusal> {
      Submitted.push_back(Item.Request);
      return done{};
    };
    Callbacks.GroupsFor = [](const request_facts &) {
      return std::vector<candidate_group>{{group_name("llm"), 1}};
    };
    limits_declaration Limits;
    Limits.RetryPercent = 0;
    auto Built =
        dispatcher_builder().process(Self).limits(Limits).seed(1).callbacks(Callbacks).build();
    valueOf(Built).setReady(true);
    return valueOf(std::move(Built));
  }
  void placeSubmitted(mono_time Now) {
    for (const request_number Request : std::exchange(Submitted, {}))
      Dispatch.place({Request, Server, 0, {}}, Now);
    for (const dispatch_action &Action : Dispatch.takeActions())
      Starts += std::holds_alternative<start_attempt>(Action) ? 1 : 0;
  }

  const backend_key Server{backend_address("127.0.0.1:1"), incarnation(1)};
  const process_key Self;
  std::vector<request_number> Submitted;
  std::size_t Starts{0};
  std::size_t Streams{0};
  dispatcher Dispatch;
};

/// Entries that share a retry budget and lend each other retries over a network without losses.
class cut_entries : public testing::TestWithParam<std::size_t> {
protected:
  static constexpr milliseconds Latency{2};
  static constexpr milliseconds SilenceReports{500}; ///< Between two reports of a silent attempt.

  void SetUp() override {
    Allowance.Reserve = 90 + 2 * static_cast<double>(GetParam());
    std::vector<std::string> Addresses;
    for (std::size_t Rank = 0; Rank < GetParam(); ++Rank)
      Addresses.push_back(std::to_string(Rank));
    for (std::size_t Rank = 0; Rank < GetParam(); ++Rank) {
      Entries.push_back(std::make_unique<entry_world>(Rank));
      Entries.back()->join(Rank, Addresses, Allowance, Now);
    }
    // A started entry may use its part of the reserve once a window has passed.
    Now += Allowance.Window + seconds(1);
  }
  /// Lets some entries lose the links to all servers, with as many streams together as given.
  void cut(std::size_t Count, std::size_t Streams) {
    for (std::size_t Entry = 0; Entry < Count; ++Entry)
      Entries[Entry]->startStreams(Streams / Count + (Entry < Streams % Count ? 1 : 0), Now);
    for (int Report = 0; Report < 3; ++Report) {
      for (std::size_t Entry = 0; Entry < Count; ++Entry)
        Entries[Entry]->loseLinks(Now);
      run(SilenceReports);
    }
  }
  [[nodiscard]] std::size_t secondAttempts() const {
    std::size_t Sum = 0;
    for (const auto &Entry : Entries)
      Sum += Entry->secondAttempts();
    return Sum;
  }

  retry_allowance Allowance;

private:
  void run(mono_duration Time) {
    for (const mono_time End = Now + Time; Now < End; Now += milliseconds(1)) {
      for (auto Due = InFlight.begin(); Due != InFlight.end() && Due->first <= Now;
           Due = InFlight.erase(Due))
        Entries[Due->second.first]->receive(Due->second.second, Now);
      for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
        Entries[Entry]->advance(Now);
        for (const retry_datagram &Datagram : Entries[Entry]->takeDatagrams(Now))
          InFlight.emplace(Now + Latency, std::pair(std::stoul(Datagram.To),
                                                    received_retry_message{std::to_string(Entry),
                                                                           Datagram.Message}));
      }
    }
  }

  mono_time Now{seconds(1'000)};
  std::vector<std::unique_ptr<entry_world>> Entries;
  std::multimap<mono_time, std::pair<std::size_t, received_retry_message>> InFlight;
};

INSTANTIATE_TEST_SUITE_P(Entries, cut_entries, testing::Values(3, 8, 59, 195, 320));

// Guards against callers of cut entries that lose their streams while other entries hold retries.
TEST_P(cut_entries, ContinueAllStreamsThatTheBudgetAllows) {
  const auto Streams = static_cast<std::size_t>(0.9 * Allowance.Reserve);
  cut(std::max<std::size_t>(1, GetParam() / 3), Streams);
  std::cout << GetParam() << " entries: " << secondAttempts() << " of " << Streams << " streams\n";
  EXPECT_EQ(secondAttempts(), Streams);
}

TEST_P(cut_entries, KeepTheBudget) {
  cut(std::max<std::size_t>(1, GetParam() / 2), 3 * static_cast<std::size_t>(Allowance.Reserve));
  std::cout << GetParam() << " entries: " << secondAttempts() << " of " << Allowance.Reserve
            << " retries\n";
  EXPECT_LE(static_cast<double>(secondAttempts()), Allowance.Reserve);
}

} // namespace
} // namespace pollenstall
