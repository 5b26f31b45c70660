/** @file placer_fault_test.cpp Placement on servers that answer with errors or wrong bytes. */
#include "placer_fixture.h"

#include <map>

namespace pollenstall {
namespace {

/// Servers of which some fail a part of their attempts, before an entry with a steady load.
struct faulty_servers_test : placer_fixture {
  enum class fault : std::uint8_t { ErrorAnswer, PassedOnError, WrongBytes };
  struct faulty_server {
    fault Kind{fault::ErrorAnswer};
    double Fraction{1};
  };

  /// Sends 50 requests a second, each answered within 20 ms. @return The requests of each server.
  std::map<backend_key, int> load(int Seconds) {
    std::map<backend_key, int> Arrivals;
    for (int Sent = 0; Sent < Seconds * 50; ++Sent) {
      submitRequest(1'000);
      for (const work_placement &Placement : poll()) {
        ++Arrivals[Placement.Backend];
        answer(Placement);
      }
      Now += 20ms;
    }
    return Arrivals;
  }
  void answer(const work_placement &Placement) {
    const auto Found = Faulty.find(Placement.Backend);
    const bool Fails = Found != Faulty.end() && Random.chance(Found->second.Fraction);
    if (Fails && Found->second.Kind == fault::ErrorAnswer)
      return fail(Placement.Request, attempt_failure::ErrorAnswer);
    beginAnswer(Placement.Request);
    if (Fails && Found->second.Kind == fault::WrongBytes) {
      // An abandoned attempt reports its failure now and again when it has ended.
      Placer.attemptFailed(attemptOf(Placement.Request), attempt_failure::BadAnswer, Now);
      return fail(Placement.Request, attempt_failure::BadAnswer);
    }
    attempt_report Report;
    Report.Completed = true;
    Report.ServerError = Fails;
    Placer.attemptEnded(attemptOf(Placement.Request), Report, Now);
  }
  void fail(request_number Request, attempt_failure Failure) {
    attempt_report Report;
    Report.Failure = Failure;
    Placer.attemptEnded(attemptOf(Request), Report, Now);
  }
  /// Makes one server faulty. @return The requests it gets in 10 s.
  int requestsWith(fault Kind, double Fraction) {
    const backend_key Server = makeListing(0).Key;
    Faulty[Server] = {Kind, Fraction};
    load(5);
    return load(10)[Server];
  }

  static constexpr fault AllFaults[] = {fault::ErrorAnswer, fault::PassedOnError,
                                        fault::WrongBytes};
  std::map<backend_key, faulty_server> Faulty;
  random_source Random{1};
};

// Guards against a server that answers all requests with errors at once, and is therefore chosen
// again and again.
TEST_F(faulty_servers_test, GetOnlyProbesIfTheyFailAll) {
  for (const fault Kind : AllFaults)
    EXPECT_LE(requestsWith(Kind, 1), 10);
}

// Guards against the loss of a server that does most of its work: a sound one gets about 268.
TEST_F(faulty_servers_test, GetHalfOfASoundShareIfTheyFailSome) {
  const int Sound = load(10)[makeListing(0).Key];
  for (const fault Kind : AllFaults)
    EXPECT_GE(requestsWith(Kind, 0.4), Sound / 2);
}

// Guards against a caller whose requests end in errors everywhere: no server is at fault.
TEST_F(faulty_servers_test, AreAllUsedIfAllFailAlike) {
  const int Sound = load(10)[makeListing(0).Key];
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Faulty[makeListing(Index).Key] = {fault::ErrorAnswer, 0.5};
  load(10);
  EXPECT_GE(load(10)[makeListing(0).Key], Sound / 2);
}

// Guards against blame for a helper's error: any server of a split prompt may have caused it.
TEST_F(faulty_servers_test, AreNotBlamedForErrorsOfSplitPrompts) {
  std::map<backend_key, int> Uses;
  for (int Count = 0; Count < 5; ++Count) {
    const request_number Request = submitRequest(154'000);
    for (const work_placement &Placement : poll())
      ++Uses[Placement.Backend];
    fail(Request, attempt_failure::ErrorAnswer);
    Now += 10ms;
  }
  EXPECT_EQ(Uses.size(), 1U) << "the same server answers each time";
}

TEST(ServerRecord, RestsLongerTheMoreItFails) {
  const placement_tuning Tuning;
  mono_time Now{1h};
  server_record Record;
  mono_duration Previous{0};
  for (int Failures = 0; Failures < 3; ++Failures) {
    Record.recordFailure(server_fault::Declined, false, 0, Tuning, Now);
    const mono_time Failed = Now;
    while (Record.rests(Now))
      Now += 1ms;
    EXPECT_GT(Now - Failed, Previous);
    Previous = Now - Failed;
  }
  Record.recordSuccess(Tuning, Now);
  EXPECT_FALSE(Record.rests(Now));
}

// Guards against a rest for one caller's error: a single one among sound answers is no news.
TEST(ServerRecord, IgnoresASingleErrorAnswer) {
  const placement_tuning Tuning;
  const mono_time Now{1h};
  server_record Record;
  for (int Successes = 0; Successes < 5; ++Successes)
    Record.recordSuccess(Tuning, Now);
  Record.recordFailure(server_fault::ErrorAnswer, false, 0, Tuning, Now);
  EXPECT_FALSE(Record.rests(Now));
}

} // namespace
} // namespace pollenstall
