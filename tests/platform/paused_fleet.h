/** @file paused_fleet.h A running system whose processes are stopped for moments. */
#ifndef POLLENSTALL_TESTS_PLATFORM_PAUSED_FLEET_H
#define POLLENSTALL_TESTS_PLATFORM_PAUSED_FLEET_H

#include "platform_path_fixture.h"

#include <atomic>
#include <mutex>

namespace pollenstall {

/// How the requests of callers have ended.
struct caller_counts {
  std::size_t Whole{0};   ///< Complete answers with each event once.
  std::size_t Refused{0}; ///< Failures that promise that nothing was run.
  std::size_t Lost{0};    ///< Read, and then ended without an answer or in the middle of one.
  std::size_t Spoiled{0}; ///< With a missing, repeated or foreign event.
  std::vector<std::string> Failures; ///< One line for each request that was lost or spoiled.
};

/**
 * Entries and control hosts, engines that are processes of their own, and callers that stream from
 * all entries until they are stopped. The callers' view alone decides what was lost.
 */
class PausedFleetTest : public PlatformPathTest {
protected:
  /// @param Reserve Retries beside the share of the requests, in any window. By default far fewer
  /// retries may start than there are streams, so a stream that is ended is lost.
  explicit PausedFleetTest(std::size_t Reserve = 0) : RetryReserve(Reserve) {}

  static constexpr std::size_t EntryCount = 3;
  static constexpr std::size_t EngineCount = 4;
  static constexpr int EventCount = 24;
  static constexpr milliseconds EventInterval{40};
  /// Longer than all pauses that a request can meet.
  static constexpr milliseconds CallerLimit{15'000};

  void SetUp() override;
  void TearDown() override { stopCallers(); }

  /// Starts callers at each entry, which send one stream after another.
  void startCallers(std::size_t CallersPerEntry);
  void startCallersAt(std::size_t Entry, std::size_t CallerCount);
  /// Lets each caller read its current answer to the end.
  caller_counts stopCallers();
  /// Waits until callers have received this many further whole answers.
  [[nodiscard]] bool awaitAnswers(std::size_t Count);
  [[nodiscard]] child_process &engine(std::size_t Index) { return *Engines.at(Index); }

  /// Stops processes for a time. @param Processes All of them stand still together.
  static void pause(const std::vector<child_process *> &Processes, milliseconds Time);
  [[nodiscard]] std::vector<child_process *> engines();
  [[nodiscard]] std::vector<child_process *> entries();
  [[nodiscard]] std::vector<child_process *> controlHosts();
  /// Sends the next version of the configuration. @return Whether it was acknowledged.
  bool changeConfiguration();
  /// @return Whether no process has ended by itself.
  [[nodiscard]] testing::AssertionResult allRun();

private:
  void startEngines();
  void sendRequests(std::size_t Entry);
  void sendRequest(std::size_t Entry, const std::string &Send);
  void record(const std::string &Send, std::size_t Entry, http_stream &Stream);

  std::size_t RetryReserve;
  std::vector<std::unique_ptr<child_process>> Engines;
  std::vector<std::thread> Callers;
  std::atomic<bool> Stopping{false};
  std::atomic<int> NextRequest{0};
  std::mutex Guard;
  caller_counts Counts;
  int Version{1};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_PLATFORM_PAUSED_FLEET_H
