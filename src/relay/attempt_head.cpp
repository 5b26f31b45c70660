/** @file attempt_head.cpp Request heads for backend servers, as docs/BACKEND-PROTOCOL.md specifies.
 */
#include "relay/attempt_head_func.h"

#include "path/path.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace pollenstall {

namespace {

constexpr std::string_view LineEnd = "\r\n";

void addLine(std::string &Head, std::string_view Name, std::string_view Value) {
  Head += Name;
  Head += ": ";
  Head += Value;
  Head += LineEnd;
}

std::string startLine(std::string_view Method, std::string_view Target) {
  std::string Head(Method);
  Head += ' ';
  Head += Target;
  Head += " HTTP/1.1\r\n";
  return Head;
}

std::string attemptPath(const attempt_id &Attempt) { return "/v1/attempts/" + toText(Attempt); }

std::string hexText(std::uint64_t Value, std::size_t Digits) {
  constexpr std::string_view Alphabet = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  std::string Text(Digits, '0');
  for (std::size_t At = Digits; At-- > 0; Value >>= BitsPerDigit)
    Text[At] = Alphabet[Value & (Alphabet.size() - 1)];
  return Text;
}

bool isLowerHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Digit) {
    return (Digit >= '0' && Digit <= '9') || (Digit >= 'a' && Digit <= 'f');
  });
}

bool isAllZero(std::string_view Text) {
  return Text.find_first_not_of('0') == std::string_view::npos;
}

/// Checks the form "00-<32 hex>-<16 hex>-<2 hex>"; neither id may be all zero.
bool isTraceParent(std::string_view Text) {
  constexpr std::size_t Length = 55;
  constexpr std::size_t TraceAt = 3;
  constexpr std::size_t TraceDigits = 32;
  constexpr std::size_t ParentAt = 36;
  constexpr std::size_t ParentDigits = 16;
  constexpr std::size_t FlagsAt = 53;
  if (Text.size() != Length || !Text.starts_with("00-") || Text[ParentAt - 1] != '-' ||
      Text[FlagsAt - 1] != '-')
    return false;
  const std::string_view Trace = Text.substr(TraceAt, TraceDigits);
  const std::string_view Parent = Text.substr(ParentAt, ParentDigits);
  return isLowerHex(Trace) && isLowerHex(Parent) && isLowerHex(Text.substr(FlagsAt)) &&
         !isAllZero(Trace) && !isAllZero(Parent);
}

} // namespace

std::string attemptHead(const relayed_call &Call, const start_attempt &Order, mono_time Now) {
  const auto Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Facts.Deadline - Now);
  const forwarded_request &Request = Call.Request;
  std::string Head = startLine(Request.Method, Request.Target);
  // A plain service may serve several sites; an engine is addressed by its own address.
  addLine(Head, "Host",
          Call.Kind == service_kind::Plain ? Request.Host : Order.Backend.Address.str());
  for (const header_line &Line : Request.Headers)
    addLine(Head, Line.Name, Line.Value);
  addLine(Head, "X-Pollenstall-Attempt", toText(Order.Attempt));
  addLine(Head, "X-Pollenstall-Priority", std::to_string(Order.Priority));
  addLine(Head, "X-Pollenstall-Deadline-Ms",
          std::to_string(std::max<std::int64_t>(Remaining.count(), 1)));
  addLine(Head, "X-Pollenstall-Account", Call.Facts.Account.str());
  addLine(Head, "traceparent", Request.TraceParent);
  const std::size_t Length = Request.Body ? Request.Body->Text.size() : 0;
  if (Length > 0 || Request.Method == "POST" || Request.Method == "PUT" ||
      Request.Method == "PATCH")
    addLine(Head, "Content-Length", std::to_string(Length));
  Head += LineEnd;
  return Head;
}

std::string holdName(const attempt_id &Attempt, const backend_key &Backend) {
  constexpr std::size_t Digits = 16;
  return "h" + hexText(stableHash(toText(Attempt) + "@" + Backend.Address.str()), Digits);
}

std::string backendCallText(const backend_call &Call, const backend_key &Backend) {
  std::string Text = startLine(Call.Method, Call.Target);
  addLine(Text, "Host", Backend.Address.str());
  addLine(Text, "Content-Type", "application/json");
  addLine(Text, "Content-Length", std::to_string(Call.Body.size()));
  return Text + std::string(LineEnd) + Call.Body;
}

std::string headerRoutedAttemptHead(const relayed_call &Call, const start_attempt &Order,
                                    const call_interface &Interface, mono_time Now) {
  const forwarded_request &Request = Call.Request;
  attempt_facts Facts;
  Facts.TimeLeft =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(Call.Facts.Deadline - Now));
  Facts.Instance = Order.Instance;
  Facts.Account = Call.Facts.Account;
  Facts.LastEvent = Call.LastEvent;
  if (const bool IsCarried = !Call.LastPeer.empty(); IsCarried && Call.LastConnect)
    Facts.Place = carriedQueuePlace(*Call.LastConnect, Order.VisibleAfter, Order.Attempt.Request);
  for (const backend_key &Helper : Order.Helpers) {
    const auto Hold = std::find_if(
        Order.Holds.begin(), Order.Holds.end(),
        [&Helper](const memory_hold &Candidate) { return Candidate.Backend == Helper; });
    Facts.Helpers.push_back({Helper.Address, Hold == Order.Holds.end()
                                                 ? std::string()
                                                 : holdName(Order.Attempt, Helper)});
  }
  std::vector<header_line> Lines = Request.Headers;
  Interface.WriteAttempt(Facts, Lines);
  std::string Head = startLine(Request.Method, Request.Target);
  addLine(Head, "Host", Request.Host);
  for (const header_line &Line : Lines)
    addLine(Head, Line.Name, Line.Value);
  const std::size_t Length = Request.Body ? Request.Body->Text.size() : 0;
  if (Length > 0 || Request.Method == "POST" || Request.Method == "PUT" ||
      Request.Method == "PATCH")
    addLine(Head, "Content-Length", std::to_string(Length));
  Head += LineEnd;
  return Head;
}

std::string resumeHead(const relayed_call &Call, const resume_attempt &Order) {
  std::string Head = startLine("GET", attemptPath(Order.Attempt) + "/stream");
  addLine(Head, "Host", Order.Backend.Address.str());
  addLine(Head, "Accept", "text/event-stream");
  addLine(Head, "Last-Event-ID", std::to_string(Call.LastEvent));
  addLine(Head, "X-Pollenstall-Attempt", toText(Order.Attempt));
  addLine(Head, "traceparent", Call.Request.TraceParent);
  Head += LineEnd;
  return Head;
}

std::string cancelHead(const cancel_attempt &Order) {
  std::string Head = startLine("DELETE", attemptPath(Order.Attempt));
  addLine(Head, "Host", Order.Backend.Address.str());
  addLine(Head, "X-Pollenstall-Attempt", toText(Order.Attempt));
  Head += LineEnd;
  return Head;
}

std::string listHead(const backend_key &Backend) {
  std::string Head = startLine("GET", "/v1/attempts");
  addLine(Head, "Host", Backend.Address.str());
  Head += LineEnd;
  return Head;
}

std::string traceParentFrom(std::string_view Header, random_source &Random) {
  if (isTraceParent(Header))
    return std::string(Header);
  constexpr std::size_t Digits = 16;
  // A random id is all zero with probability 2^-64; setting one bit excludes that.
  const std::string Trace = hexText(Random() | 1U, Digits) + hexText(Random(), Digits);
  return "00-" + Trace + "-" + hexText(Random() | 1U, Digits) + "-01";
}

} // namespace pollenstall
