/** @file paused_fleet.cpp Engines, callers and pauses. */
#include "paused_fleet.h"

namespace pollenstall {

void PausedFleetTest::SetUp() {
  ASSERT_NO_FATAL_FAILURE(startAll(std::make_unique<platform_system>(5, EntryCount, RetryReserve),
                                   EntryCount, configuration(1)));
  startEngines();
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    ASSERT_TRUE(eventually([&] { return PlatformPathTest::sendRequest(Entry).first == Ok; }));
}

void PausedFleetTest::startEngines() {
  for (std::size_t Index = 0; Index < EngineCount; ++Index) {
    std::vector<std::string> Arguments{"i-" + std::to_string(Index), std::to_string(EventCount),
                                       std::to_string(EventInterval.count())};
    for (const std::string &Control : System->controlAddresses())
      Arguments.push_back(Control);
    Engines.push_back(std::make_unique<child_process>("pollenstall-stream-engine", Arguments));
    ASSERT_TRUE(Engines.back()->waitForEvent("listening"));
  }
}

void PausedFleetTest::startCallers(std::size_t CallersPerEntry) {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    startCallersAt(Entry, CallersPerEntry);
}

void PausedFleetTest::startCallersAt(std::size_t Entry, std::size_t CallerCount) {
  for (std::size_t Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([this, Entry] { sendRequests(Entry); });
}

void PausedFleetTest::sendRequests(std::size_t Entry) {
  constexpr milliseconds Pause{20};
  while (!Stopping) {
    sendRequest(Entry, "caller-" + std::to_string(++NextRequest));
    std::this_thread::sleep_for(Pause);
  }
}

void PausedFleetTest::sendRequest(std::size_t Entry, const std::string &Send) {
  http_headers Headers = headers(Send);
  for (auto &[Name, Value] : Headers)
    if (Name == "Deadline-Ms")
      Value = std::to_string(CallerLimit.count());
  http_stream Stream(System->callers(Entry), "POST", "/x/2f", "a body", Headers, CallerLimit);
  record(Send, Entry, Stream);
}

void PausedFleetTest::record(const std::string &Send, std::size_t Entry, http_stream &Stream) {
  constexpr int TooManyRequests = 429;
  constexpr int Unavailable = 503;
  const std::vector<sse_event> Events =
      Stream.status() == Ok ? Stream.remainingEvents() : std::vector<sse_event>();
  bool InOrder = true;
  for (std::size_t Index = 0; Index < Events.size(); ++Index)
    InOrder = InOrder && Events[Index].Id == std::to_string(Index + 1);
  const bool IsRefusal = Stream.status() == TooManyRequests || Stream.status() == Unavailable;
  const bool SaysNotRun = Stream.header("X-Pollenstall-Outcome") == "not-run";
  const bool IsWhole = Stream.status() == Ok && Stream.endedCleanly();
  const std::lock_guard<std::mutex> Lock(Guard);
  if (IsRefusal && SaysNotRun)
    return void(++Counts.Refused);
  if (IsWhole && InOrder && Events.size() == EventCount)
    return void(++Counts.Whole);
  ++(IsWhole || !InOrder ? Counts.Spoiled : Counts.Lost);
  Counts.Failures.push_back(Send + " at entry " + std::to_string(Entry) + ": status " +
                            std::to_string(Stream.status()) + ", " + std::to_string(Events.size()) +
                            " events, " + Stream.error());
}

caller_counts PausedFleetTest::stopCallers() {
  Stopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  Callers.clear();
  Stopping = false;
  const std::lock_guard<std::mutex> Lock(Guard);
  return std::exchange(Counts, {});
}

bool PausedFleetTest::awaitAnswers(std::size_t Count) {
  const auto Whole = [this] {
    const std::lock_guard<std::mutex> Lock(Guard);
    return Counts.Whole;
  };
  const std::size_t Before = Whole();
  return eventually([&] { return Whole() >= Before + Count; });
}

void PausedFleetTest::pause(const std::vector<child_process *> &Processes, milliseconds Time) {
  for (const child_process *Process : Processes)
    Process->stop();
  std::this_thread::sleep_for(Time);
  for (const child_process *Process : Processes)
    Process->resume();
}

std::vector<child_process *> PausedFleetTest::engines() {
  std::vector<child_process *> Processes;
  for (const auto &Engine : Engines)
    Processes.push_back(Engine.get());
  return Processes;
}

std::vector<child_process *> PausedFleetTest::entries() {
  std::vector<child_process *> Processes;
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    Processes.push_back(&System->entry(Entry));
  return Processes;
}

std::vector<child_process *> PausedFleetTest::controlHosts() {
  std::vector<child_process *> Processes;
  for (std::size_t Host = 0; Host < System->controls(); ++Host)
    Processes.push_back(&System->controlHost(Host));
  return Processes;
}

bool PausedFleetTest::changeConfiguration() {
  return System->acknowledged("PUT", ConfigurationPath, configuration(++Version));
}

testing::AssertionResult PausedFleetTest::allRun() {
  std::vector<child_process *> Processes = entries();
  for (child_process *Host : controlHosts())
    Processes.push_back(Host);
  for (child_process *Process : Processes)
    if (const auto Code = Process->wait(milliseconds(0))) {
      std::string Log;
      for (const std::string &Line : Process->errorLines())
        Log += "\n" + Line;
      return testing::AssertionFailure() << "a process ended with " << *Code << Log;
    }
  return testing::AssertionSuccess();
}

} // namespace pollenstall
