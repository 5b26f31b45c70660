/** @file timed_socket.cpp Reads, writes and deadlines of sockets. */
#include "relay/timed_socket_base.h"

#include <boost/asio/write.hpp>

namespace pollenstall {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds SweepInterval{50};
/// A longer time between two sweeps means that this thread stood still. A host whose share of a
/// processor is used up waits up to 100 ms for the next one.
constexpr std::chrono::milliseconds MaxSweepGap{250};
constexpr std::chrono::seconds DrainLimit{1};
constexpr std::size_t ReadBufferBytes = 64U << 10U;

/// Returns the buffers without their first Count bytes.
std::vector<asio::const_buffer> withoutFirst(std::span<const asio::const_buffer> Buffers,
                                             std::size_t Count) {
  std::vector<asio::const_buffer> Remaining;
  for (const asio::const_buffer &Buffer : Buffers) {
    const std::size_t Skip = std::min(Count, Buffer.size());
    Count -= Skip;
    if (Skip < Buffer.size())
      Remaining.push_back(Buffer + Skip);
  }
  return Remaining;
}

} // namespace

timed_socket::timed_socket(socket_sweeper &Owner, asio::ip::tcp::socket Open)
    : Sweeper(Owner), Socket(std::move(Open)) {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Sweeper.Sockets.push_back(*this);
}

void timed_socket::expireAt(mono_time When) {
  Deadline = Sweeper.clock().toRunning(When);
  Expired = false;
}

void timed_socket::watchSilence(mono_duration Limit) {
  SilentAt = Sweeper.clock().toRunning(boot_clock::now() + Limit);
}

void timed_socket::endSilenceWatch() {
  SilentAt = mono_time::max();
  AtSilence = nullptr;
}

asio::awaitable<bool> timed_socket::waitReadable() {
  if (Expired)
    co_return false;
  error_code Code;
  co_await waitRead(Code);
  co_return !Code;
}

asio::awaitable<std::string_view> timed_socket::readSome() {
  while (co_await waitReadable()) {
    const read_result Read = readNow();
    if (Read.Ended || !Read.Bytes.empty())
      co_return Read.Bytes;
  }
  co_return std::string_view();
}

timed_socket::read_result timed_socket::readNow() {
  if (Expired)
    return {{}, true};
  error_code Code;
  const std::span<char> Target = Sweeper.readBuffer();
  const std::size_t Received = Socket.read_some(asio::buffer(Target.data(), Target.size()), Code);
  if (Code == asio::error::would_block)
    return {};
  SilentAt = mono_time::max();
  if (Code) {
    Receiving.noteReadError(Code);
    return {{}, true};
  }
  if (HeardAt != nullptr)
    *HeardAt = boot_clock::now();
  return {std::string_view(Target.data(), Received), false};
}

std::optional<std::size_t> timed_socket::writeNow(std::span<const asio::const_buffer> Buffers) {
  if (Expired)
    return std::nullopt;
  error_code Code;
  const std::size_t Written = Socket.write_some(Buffers, Code);
  if (Code && Code != asio::error::would_block) {
    Receiving.noteError(Code);
    return std::nullopt;
  }
  return Written;
}

asio::awaitable<std::size_t> timed_socket::writeAll(std::span<const asio::const_buffer> Buffers) {
  const std::optional<std::size_t> Immediate = writeNow(Buffers);
  const std::size_t Written = Immediate.value_or(0);
  if (!Immediate || Written == asio::buffer_size(Buffers))
    co_return Written;
  const std::vector<asio::const_buffer> Remaining = withoutFirst(Buffers, Written);
  error_code Code;
  const std::size_t Later = co_await asio::async_write(
      Socket, Remaining, asio::redirect_error(asio::use_awaitable, Code));
  if (Code)
    Receiving.noteError(Code);
  co_return Written + Later;
}

timed_socket::input_state timed_socket::peek() {
  if (!Socket.is_open())
    return input_state::Closed;
  char Byte = 0;
  error_code Code;
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Code);
  if (!Code)
    return input_state::Bytes;
  if (Code == asio::error::would_block || Code == asio::error::interrupted)
    return input_state::Nothing;
  if (Code != asio::error::eof)
    Receiving.noteError(Code);
  return input_state::Closed;
}

bool timed_socket::peerClosed() { return peek() == input_state::Closed; }

bool timed_socket::hasInput() { return peek() == input_state::Bytes; }

asio::awaitable<void> timed_socket::closeAfterDrain() {
  error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  expireAt(boot_clock::now() + DrainLimit);
  while (!(co_await readSome()).empty()) {
  }
  close();
}

void timed_socket::close() {
  error_code Ignored;
  Socket.close(Ignored);
}

void timed_socket::abort() {
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

void timed_socket::expire() {
  expireNever();
  Expired = true;
  error_code Ignored;
  Socket.cancel(Ignored);
}

void timed_socket::checkTimes(mono_time RunningNow) {
  if (Deadline <= RunningNow)
    expire();
  if (SilentAt <= RunningNow)
    SilentAt = RunningNow + AtSilence();
}

socket_sweeper::socket_sweeper(asio::io_context &Context)
    : Clock(MaxSweepGap), Io(Context), Timer(Context), Buffer(ReadBufferBytes) {
  Clock.advance(boot_clock::now());
}

void socket_sweeper::start() {
  Timer.expires_after(SweepInterval);
  Timer.async_wait([this](const error_code &Code) {
    if (Code || Stopped)
      return;
    sweep();
    start();
  });
}

void socket_sweeper::stop() {
  Stopped = true;
  Timer.cancel();
  for (timed_socket &Socket : Sockets)
    Socket.abort();
}

void socket_sweeper::sweep() {
  const mono_time Now = boot_clock::now();
  if (const auto Stall = Clock.advance(Now)) {
    if (AtStall)
      AtStall(*Stall);
    return; // What arrived meanwhile is read before any deadline is checked.
  }
  const mono_time RunningNow = Clock.toRunning(Now);
  for (timed_socket &Socket : Sockets)
    Socket.checkTimes(RunningNow);
}

} // namespace pollenstall
