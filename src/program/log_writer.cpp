/** @file log_writer.cpp The line queue and its writer thread. */
#include "program/log_writer_base.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace pollenstall {

namespace {

constexpr std::chrono::milliseconds ShutdownFlushTimeout{500};

} // namespace

struct log_writer::state {
  state(std::size_t ByteLimit, line_sink LineSink, dropped_line_formatter DroppedFormatter)
      : MaxBytes(ByteLimit), Sink(std::move(LineSink)), FormatDropped(std::move(DroppedFormatter)) {
  }

  void run() {
    std::unique_lock<std::mutex> Lock(Guard);
    while (true) {
      LinesQueued.wait(Lock, [this] { return !Lines.empty() || Stopping; });
      if (Lines.empty())
        return;
      std::deque<std::string> Batch = std::exchange(Lines, {});
      if (const std::uint64_t Count = std::exchange(Dropped, 0); Count > 0)
        Batch.push_back(FormatDropped(Count));
      Bytes = 0;
      Lock.unlock();
      for (const std::string &Line : Batch)
        Sink(Line);
      Lock.lock();
      Idle = Lines.empty();
      BatchWritten.notify_all();
    }
  }

  const std::size_t MaxBytes;
  const line_sink Sink;
  const dropped_line_formatter FormatDropped;
  std::mutex Guard;
  std::condition_variable LinesQueued;
  std::condition_variable BatchWritten;
  std::deque<std::string> Lines;
  std::size_t Bytes{0};
  std::uint64_t Dropped{0};
  bool Idle{true};
  bool Stopping{false};
};

log_writer::log_writer(std::size_t MaxBytes, line_sink Sink, dropped_line_formatter FormatDropped)
    : State(std::make_shared<state>(MaxBytes, std::move(Sink), std::move(FormatDropped))) {
  std::thread([SharedState = State] { SharedState->run(); }).detach();
}

log_writer::~log_writer() {
  flush(ShutdownFlushTimeout);
  const std::lock_guard<std::mutex> Lock(State->Guard);
  State->Stopping = true;
  State->LinesQueued.notify_all();
}

bool log_writer::push(std::string Line, line_severity Severity) {
  {
    const std::lock_guard<std::mutex> Lock(State->Guard);
    const std::size_t Capacity =
        Severity == line_severity::Severe ? State->MaxBytes : State->MaxBytes / 4 * 3;
    if (State->Bytes + Line.size() > Capacity) {
      ++State->Dropped;
      return false;
    }
    State->Bytes += Line.size();
    State->Lines.push_back(std::move(Line));
    State->Idle = false;
  }
  State->LinesQueued.notify_one();
  return true;
}

bool log_writer::flush(std::chrono::milliseconds Limit) {
  std::unique_lock<std::mutex> Lock(State->Guard);
  return State->BatchWritten.wait_for(Lock, Limit, [this] { return State->Idle; });
}

} // namespace pollenstall
