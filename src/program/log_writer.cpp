/** @file log_writer.cpp The queue and the thread behind it. */
#include "program/log_writer_base.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace pollenstall {

namespace {

constexpr std::chrono::milliseconds EndLimit{500};

} // namespace

struct log_writer::state {
  state(std::size_t Bound, line_sink Writes, dropped_line Says)
      : MaxTextBytesInFlight(Bound), Sink(std::move(Writes)), Told(std::move(Says)) {}

  void run() {
    std::unique_lock<std::mutex> Lock(Guard);
    while (true) {
      Filled.wait(Lock, [this] { return !Lines.empty() || Ending; });
      if (Lines.empty())
        return;
      std::deque<std::string> Batch = std::exchange(Lines, {});
      if (const std::uint64_t Count = std::exchange(Dropped, 0); Count > 0)
        Batch.push_back(Told(Count));
      Bytes = 0;
      Lock.unlock();
      for (const std::string &Line : Batch)
        Sink(Line);
      Lock.lock();
      Idle = Lines.empty();
      Written.notify_all();
    }
  }

  const std::size_t MaxTextBytesInFlight;
  const line_sink Sink;
  const dropped_line Told;
  std::mutex Guard;
  std::condition_variable Filled;
  std::condition_variable Written;
  std::deque<std::string> Lines;
  std::size_t Bytes{0};
  std::uint64_t Dropped{0};
  bool Idle{true};
  bool Ending{false};
};

log_writer::log_writer(std::size_t MaxTextBytesInFlight, line_sink Sink, dropped_line Told)
    : State(std::make_shared<state>(MaxTextBytesInFlight, std::move(Sink), std::move(Told))) {
  std::thread([Kept = State] { Kept->run(); }).detach();
}

log_writer::~log_writer() {
  flush(EndLimit);
  const std::lock_guard<std::mutex> Lock(State->Guard);
  State->Ending = true;
  State->Filled.notify_all();
}

bool log_writer::push(std::string Line, line_weight Weight) {
  {
    const std::lock_guard<std::mutex> Lock(State->Guard);
    const std::size_t Room = Weight == line_weight::Severe ? State->MaxTextBytesInFlight
                                                           : State->MaxTextBytesInFlight / 4 * 3;
    if (State->Bytes + Line.size() > Room) {
      ++State->Dropped;
      return false;
    }
    State->Bytes += Line.size();
    State->Lines.push_back(std::move(Line));
    State->Idle = false;
  }
  State->Filled.notify_one();
  return true;
}

bool log_writer::flush(std::chrono::milliseconds Limit) {
  std::unique_lock<std::mutex> Lock(State->Guard);
  return State->Written.wait_for(Lock, Limit, [this] { return State->Idle; });
}

} // namespace pollenstall
