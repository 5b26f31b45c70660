/** @file caller_connection.cpp Bounded reads from a caller and framed writes to it. */
#include "relay/caller_connection_base.h"

#include "message_feed/message_feed.h"
#include "relay/call_error_func.h"
#include "relay/request_head_func.h"

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view ChunkedHead =
    "POST / HTTP/1.1\r\nHost: -\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Memory of a connection beside its messages: the session, its coroutines and the socket.
constexpr std::size_t ConnectionBytes = 4U << 10U;

/// Bytes that the kernel buffers for a slow caller (it allocates twice this figure): several
/// milliseconds of traffic on a fast network.
constexpr int CallerSendBuffer = 128 << 10;

constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;

call_error bodyTooLarge(std::size_t Limit) {
  return refusal(TooLarge, "invalid_request_error", "body_too_large", "body",
                 "must not be larger than " + std::to_string(Limit) + " bytes");
}

/// A chunk's size line, formatted without allocation.
class chunk_size_line {
public:
  explicit chunk_size_line(std::size_t Size) {
    constexpr int Hexadecimal = 16;
    char *End =
        std::to_chars(Text.data(), Text.data() + Text.size() - LineEnd.size(), Size, Hexadecimal)
            .ptr;
    End = std::copy(LineEnd.begin(), LineEnd.end(), End);
    Length = static_cast<std::size_t>(End - Text.data());
  }
  [[nodiscard]] asio::const_buffer buffer() const { return {Text.data(), Length}; }

private:
  std::array<char, 20> Text{};
  std::size_t Length{0};
};

asio::const_buffer bufferOf(std::string_view Text) { return {Text.data(), Text.size()}; }

std::string headText(const answer_head &Head) {
  std::string Text = "HTTP/1.1 " + std::to_string(Head.Status) + " " + statusText(Head.Status);
  Text += LineEnd;
  for (const header_line &Line : Head.Headers)
    Text += Line.Name + ": " + Line.Value + std::string(LineEnd);
  if (Head.Framing == answer_framing::Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  const bool StatesLength = Head.Framing == answer_framing::Length ||
                            (Head.Framing == answer_framing::None && Head.Length > 0);
  if (StatesLength)
    Text += "Content-Length: " + std::to_string(Head.Length) + std::string(LineEnd);
  Text += Head.Close ? "Connection: close\r\n\r\n" : "\r\n";
  return Text;
}

} // namespace

std::string statusText(unsigned Status) {
  if (Status == 499)
    return "Client Closed Request";
  const auto StandardStatus = boost::beast::http::int_to_status(Status);
  return std::string(boost::beast::http::obsolete_reason(StandardStatus));
}

caller_connection::caller_connection(socket_sweeper &Sweeper, asio::ip::tcp::socket Open,
                                     const relay_limits &Bounds, intake_account &SharedMemory)
    : Limits(Bounds), Memory(SharedMemory), Socket(Sweeper, std::move(Open)),
      Input(
          SharedMemory, [this] { Socket.expireNow(); }, ConnectionBytes) {
  // By default the kernel would buffer megabytes for a caller that stops reading before a write
  // stalls.
  boost::system::error_code Ignored;
  Socket.raw().set_option(asio::socket_base::send_buffer_size(CallerSendBuffer), Ignored);
}

call_error caller_connection::timeoutError(std::string_view Field) const {
  return refusal(RequestTimeout, "invalid_request_error", "request_timeout", std::string(Field),
                 "did not arrive in time");
}

template <typename Result>
Result caller_connection::incomplete(std::string_view Field, const intake_share &Share) const {
  if (Share.gaveWay())
    return overloadedError();
  if (Socket.expired())
    return timeoutError(Field);
  return connection_ended{};
}

asio::awaitable<std::variant<request_head, call_error, connection_ended>>
caller_connection::readHead() {
  Input.beginReceiving(boot_clock::now());
  bool Started = !Received.empty();
  const auto FirstLimit = Started ? Limits.HeaderTimeout : Limits.IdleTimeout;
  Socket.expireAt(boot_clock::now() + FirstLimit);
  std::size_t End = Received.find(HeadEnd);
  while (End == std::string::npos) {
    if (Received.size() > Limits.HeaderBytes)
      break;
    const std::string_view Read = co_await Socket.readSome();
    if (Read.empty() && !Started)
      co_return connection_ended{};
    if (Read.empty())
      co_return incomplete<std::variant<request_head, call_error, connection_ended>>("headers",
                                                                                     Input);
    if (!Started)
      Socket.expireAt(boot_clock::now() + Limits.HeaderTimeout);
    Started = true;
    const std::size_t From =
        Received.size() < HeadEnd.size() ? 0 : Received.size() - HeadEnd.size();
    Received.append(Read);
    if (!Input.resize(Received.capacity(), boot_clock::now())) {
      Received.clear();
      Received.shrink_to_fit();
      co_return overloadedError();
    }
    End = Received.find(HeadEnd, From);
  }
  Socket.expireNever();
  if (End == std::string::npos || End > Limits.HeaderBytes)
    co_return refusal(HeadersTooLarge, "invalid_request_error", "headers_too_large", "headers",
                      "must not be larger than " + std::to_string(Limits.HeaderBytes) + " bytes");
  const std::size_t HeadSize = End + HeadEnd.size();
  auto Head = readRequestHead(std::string_view(Received).substr(0, HeadSize));
  Received.erase(0, HeadSize);
  settleReceived();
  if (!succeeded(Head))
    co_return errorOf(Head);
  co_return std::move(valueOf(Head));
}

void caller_connection::settleReceived() {
  // A connection that waits for its next request keeps no memory of the last one.
  if (Received.empty())
    Received.shrink_to_fit();
  Input.settle(Received.empty() ? 0 : Received.capacity());
}

asio::awaitable<bool> caller_connection::writeContinue() {
  const std::array Buffers{bufferOf(ContinueAnswer)};
  co_return co_await write(Buffers);
}

asio::awaitable<std::variant<request_body, call_error, connection_ended>>
caller_connection::readBody(const request_head &Head, std::size_t Limit) {
  if (Head.ContentLength > Limit)
    co_return bodyTooLarge(Limit);
  const bool HasBody = Head.Chunked || Head.ContentLength > 0;
  if (!HasBody)
    co_return request_body{};
  auto Share = std::make_unique<intake_share>(Memory, [this] { Socket.expireNow(); });
  Share->beginReceiving(boot_clock::now());
  if (!Share->mayHold(Head.ContentLength, boot_clock::now()))
    co_return overloadedError();
  if (Head.ExpectsContinue && Received.empty() && !co_await writeContinue())
    co_return connection_ended{};
  Socket.expireAt(boot_clock::now() + Limits.BodyTimeout);
  body_text Read;
  if (Head.Chunked)
    Read = co_await readChunked(Limit, *Share);
  else
    Read = co_await readCounted(Head.ContentLength, *Share);
  Socket.expireNever();
  if (auto *Error = std::get_if<call_error>(&Read))
    co_return std::move(*Error);
  if (std::holds_alternative<connection_ended>(Read))
    co_return connection_ended{};
  settleReceived();
  std::string &Text = std::get<std::string>(Read);
  Share->settle(Text.capacity());
  co_return request_body{std::move(Text), std::move(Share)};
}

asio::awaitable<caller_connection::body_text> caller_connection::readCounted(std::size_t Length,
                                                                             intake_share &Share) {
  std::string Body;
  Body.reserve(Length);
  std::string_view Read = Received;
  std::string Rest;
  while (true) {
    const std::size_t Count = std::min(Read.size(), Length - Body.size());
    if (!Share.resize(Body.size() + Count, boot_clock::now()))
      co_return overloadedError();
    Body.append(Read.substr(0, Count));
    Rest = Read.substr(Count);
    if (Body.size() == Length)
      break;
    Read = co_await Socket.readSome();
    if (Read.empty())
      co_return incomplete<body_text>("body", Share);
  }
  Received = std::move(Rest);
  co_return std::move(Body);
}

asio::awaitable<caller_connection::body_text> caller_connection::readChunked(std::size_t Limit,
                                                                             intake_share &Share) {
  message_feed<true> Feed(Limits.HeaderBytes);
  bool Valid = Feed.feed(ChunkedHead);
  std::string First = std::exchange(Received, {});
  std::string_view Read = First;
  while (true) {
    if (!Share.resize(Feed.makeRoom(Read.size()), boot_clock::now()))
      co_return overloadedError();
    Valid = Valid && Feed.feed(Read);
    if (!Valid || Feed.done() || Feed.body().size() > Limit)
      break;
    Read = co_await Socket.readSome();
    if (Read.empty())
      co_return incomplete<body_text>("body", Share);
  }
  if (!Valid)
    co_return invalidField("body", "is not validly chunked");
  if (Feed.body().size() > Limit)
    co_return bodyTooLarge(Limit);
  Received = Feed.takeRemainder();
  co_return std::move(Feed.body());
}

asio::awaitable<bool> caller_connection::write(std::span<const asio::const_buffer> Buffers) {
  Socket.expireAt(boot_clock::now() + Limits.WriteStall);
  const std::size_t SentBytes = co_await Socket.writeAll(Buffers);
  Socket.expireNever();
  co_return SentBytes == asio::buffer_size(Buffers);
}

asio::awaitable<bool> caller_connection::writeHead(const answer_head &Head,
                                                   std::string_view FirstPart) {
  Framing = Head.Framing;
  const std::string Text = headText(Head);
  if (Framing == answer_framing::Chunked && !FirstPart.empty()) {
    const chunk_size_line Size(FirstPart.size());
    const std::array Buffers{bufferOf(Text), Size.buffer(), bufferOf(FirstPart), bufferOf(LineEnd)};
    co_return co_await write(Buffers);
  }
  const std::array Buffers{bufferOf(Text), bufferOf(FirstPart)};
  co_return co_await write(Buffers);
}

caller_connection::part_state caller_connection::tryPart(std::string_view Part) {
  if (Part.empty() || Framing == answer_framing::None)
    return part_state::Written;
  const chunk_size_line Size(Part.size());
  const bool Chunked = Framing == answer_framing::Chunked;
  const std::array Buffers{Chunked ? Size.buffer() : asio::const_buffer(), bufferOf(Part),
                           Chunked ? bufferOf(LineEnd) : asio::const_buffer()};
  const std::optional<std::size_t> SentBytes = Socket.writeNow(Buffers);
  if (!SentBytes)
    return part_state::Broken;
  if (*SentBytes == asio::buffer_size(Buffers))
    return part_state::Written;
  for (const asio::const_buffer &Buffer : Buffers)
    Unsent.append(static_cast<const char *>(Buffer.data()), Buffer.size());
  Unsent.erase(0, *SentBytes);
  return part_state::Waiting;
}

asio::awaitable<bool> caller_connection::flush() {
  const std::array Buffers{bufferOf(Unsent)};
  const bool Written = co_await write(Buffers);
  Unsent = {};
  co_return Written;
}

asio::awaitable<bool> caller_connection::writePart(std::string_view Part) {
  const part_state State = tryPart(Part);
  if (State == part_state::Waiting)
    co_return co_await flush();
  co_return State == part_state::Written;
}

asio::awaitable<bool> caller_connection::writeEnd() {
  if (Framing != answer_framing::Chunked)
    co_return true;
  const std::array Buffers{bufferOf(LastChunk)};
  co_return co_await write(Buffers);
}

asio::awaitable<bool> caller_connection::writeWhole(answer_head Head, std::string_view Body) {
  Head.Framing = answer_framing::Length;
  Head.Length = Body.size();
  co_return co_await writeHead(Head, Body);
}

} // namespace pollenstall
