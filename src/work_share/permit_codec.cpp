/** @file permit_codec.cpp Encodes messages about permits in one format of fixed size, and one with
 * more fields for cold servers. */
#include "work_share/permit_codec_func.h"

#include "work_share/work_share_type.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

enum class packed_kind : std::uint8_t { Request, Report, Reply };

/// A message as encoded on the wire; fields that a kind does not have are 0.
struct packed_permit_message {
  packed_kind Kind{packed_kind::Request};
  incarnation Server;
  bool HasLimit{false};
  std::uint32_t LimitUnits{0};
  bool Flag{false}; ///< Wanted of a request, Queued of a reply.
  std::uint64_t Issuer{0};
  std::uint64_t Number{0};
  std::uint32_t Millis{0}; ///< Wait of a request, RetryAfter of a reply.

  template <typename Archive> void serialize(Archive &Into) {
    Into(Kind, Server, HasLimit, LimitUnits, Flag, Issuer, Number, Millis);
  }
};

/// A request or reply about a cold server. It has a kind of its own, which earlier builds drop.
struct packed_cold_message {
  packed_permit_message Base;
  std::uint32_t RateUnits{0}; ///< Of a request.
  bool WasWarm{false};        ///< Of a request.
  std::uint32_t WarmAgoMs{0}; ///< Of a request.
  std::uint32_t AskedAt{0};
  std::uint32_t WaitedMs{0}; ///< Of a reply.

  template <typename Archive> void serialize(Archive &Into) {
    Into(Base, RateUnits, WasWarm, WarmAgoMs, AskedAt, WaitedMs);
  }
};

std::uint32_t packMillis(milliseconds Time) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t packLimit(requests_per_second Limit) {
  const double Units = std::round(Limit.value() * RateLimitUnits);
  return static_cast<std::uint32_t>(
      std::clamp<double>(Units, 0, std::numeric_limits<std::uint32_t>::max()));
}

packed_permit_message pack(const permit_request &Request) {
  return {packed_kind::Request,
          Request.Server,
          Request.Limit.has_value(),
          Request.Limit ? packLimit(*Request.Limit) : 0,
          Request.Wanted,
          0,
          0,
          packMillis(Request.Wait)};
}

packed_permit_message pack(const limit_report &Report) {
  return {packed_kind::Report,
          Report.Server,
          Report.Limit.has_value(),
          Report.Limit ? packLimit(*Report.Limit) : 0,
          false,
          Report.Permit.Issuer,
          Report.Permit.Number,
          0};
}

packed_permit_message pack(const permit_reply &Reply) {
  return {packed_kind::Reply,
          Reply.Server,
          Reply.Limit.has_value(),
          Reply.Limit ? packLimit(*Reply.Limit) : 0,
          Reply.Queued,
          Reply.Permit.Issuer,
          Reply.Permit.Number,
          packMillis(Reply.RetryAfter)};
}

packed_cold_message pack(const permit_message &Message, const cold_statement &Cold) {
  return {pack(std::get<permit_request>(Message)),
          std::max(1U, packLimit(Cold.PerSecond)),
          Cold.WarmAgo.has_value(),
          Cold.WarmAgo ? packMillis(*Cold.WarmAgo) : 0,
          Cold.AskedAt,
          0};
}

packed_cold_message pack(const permit_message &Message, const cold_grant &Cold) {
  return {
      pack(std::get<permit_reply>(Message)), 0, false, 0, Cold.AskedAt, packMillis(Cold.Waited)};
}

result<permit_message, wire_error> unpack(const packed_permit_message &Packed) {
  const requests_per_second Limit(Packed.LimitUnits / RateLimitUnits);
  const auto OptionalLimit = Packed.HasLimit ? std::optional(Limit) : std::nullopt;
  const permit_stamp Permit{Packed.Issuer, Packed.Number};
  const milliseconds Time(Packed.Millis);
  switch (Packed.Kind) {
  case packed_kind::Request:
    return permit_message(permit_request{Packed.Server, OptionalLimit, Packed.Flag, Time});
  case packed_kind::Report:
    return permit_message(limit_report{Packed.Server, OptionalLimit, Permit});
  case packed_kind::Reply:
    return permit_message(permit_reply{Packed.Server, OptionalLimit, Permit, Time, Packed.Flag});
  }
  return wire_error::Malformed;
}

result<permit_message, wire_error> unpack(const packed_cold_message &Packed) {
  auto Message = unpack(Packed.Base);
  if (!succeeded(Message))
    return errorOf(Message);
  if (auto *Request = std::get_if<permit_request>(&valueOf(Message))) {
    Request->Cold =
        cold_statement{requests_per_second(std::max(1U, Packed.RateUnits) / RateLimitUnits),
                       std::nullopt, Packed.AskedAt};
    if (Packed.WasWarm)
      Request->Cold->WarmAgo = milliseconds(Packed.WarmAgoMs);
    return Message;
  }
  if (auto *Reply = std::get_if<permit_reply>(&valueOf(Message))) {
    Reply->Cold = cold_grant{Packed.AskedAt, milliseconds(Packed.WaitedMs)};
    return Message;
  }
  return wire_error::Malformed;
}

template <typename Packed>
result<permit_message, wire_error> decodeAs(const std::string &Fleet, message_kind Kind,
                                            std::span<const char> Bytes) {
  const auto Decoded = decodeEnvelope<Packed>(Fleet, Kind, Bytes, MaxReportBytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  return unpack(valueOf(Decoded));
}

} // namespace

std::string encodePermitMessage(const std::string &Fleet, const permit_message &Message) {
  if (const auto *Request = std::get_if<permit_request>(&Message); Request && Request->Cold)
    return encodeEnvelope(Fleet, message_kind::ColdPermits, pack(Message, *Request->Cold));
  if (const auto *Reply = std::get_if<permit_reply>(&Message); Reply && Reply->Cold)
    return encodeEnvelope(Fleet, message_kind::ColdPermits, pack(Message, *Reply->Cold));
  const auto Packed = std::visit([](const auto &Item) { return pack(Item); }, Message);
  return encodeEnvelope(Fleet, message_kind::Permits, Packed);
}

result<permit_message, wire_error> decodePermitMessage(const std::string &Fleet,
                                                       std::span<const char> Bytes) {
  auto Decoded = decodeAs<packed_permit_message>(Fleet, message_kind::Permits, Bytes);
  if (succeeded(Decoded) || errorOf(Decoded) != wire_error::OtherKind)
    return Decoded;
  return decodeAs<packed_cold_message>(Fleet, message_kind::ColdPermits, Bytes);
}

} // namespace pollenstall
