/** @file permit_codec.cpp Encodes messages about permits in one format of fixed size. */
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
  return {
      packed_kind::Request,    Request.Server, true, packLimit(Request.Limit), Request.Wanted, 0, 0,
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

} // namespace

std::string encodePermitMessage(const std::string &Fleet, const permit_message &Message) {
  const auto Packed = std::visit([](const auto &Item) { return pack(Item); }, Message);
  return encodeEnvelope(Fleet, message_kind::Permits, Packed);
}

result<permit_message, wire_error> decodePermitMessage(const std::string &Fleet,
                                                       std::span<const char> Bytes) {
  const auto Decoded =
      decodeEnvelope<packed_permit_message>(Fleet, message_kind::Permits, Bytes, MaxReportBytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  const packed_permit_message &Packed = valueOf(Decoded);
  const requests_per_second Limit(Packed.LimitUnits / RateLimitUnits);
  const auto OptionalLimit = Packed.HasLimit ? std::optional(Limit) : std::nullopt;
  const permit_stamp Permit{Packed.Issuer, Packed.Number};
  const milliseconds Time(Packed.Millis);
  switch (Packed.Kind) {
  case packed_kind::Request:
    return permit_message(permit_request{Packed.Server, Limit, Packed.Flag, Time});
  case packed_kind::Report:
    return permit_message(limit_report{Packed.Server, OptionalLimit, Permit});
  case packed_kind::Reply:
    return permit_message(permit_reply{Packed.Server, OptionalLimit, Permit, Time, Packed.Flag});
  }
  return wire_error::Malformed;
}

} // namespace pollenstall
