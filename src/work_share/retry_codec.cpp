/** @file retry_codec.cpp Encodes messages about loans of retries in one format of fixed size. */
#include "work_share/retry_codec_func.h"

#include "work_share/work_share_type.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {

namespace {

enum class packed_kind : std::uint8_t { Request, Loan };

/// A message as encoded on the wire.
struct packed_retry_message {
  packed_kind Kind{packed_kind::Request};
  std::uint64_t Service{0};
  std::uint64_t Number{0};
  std::uint32_t AmountUnits{0};

  template <typename Archive> void serialize(Archive &Into) {
    Into(Kind, Service, Number, AmountUnits);
  }
};

std::uint32_t packAmount(retry_amount Amount) {
  // An amount in whole units may be a rounding error below them.
  constexpr double Tolerance = 1e-6;
  return static_cast<std::uint32_t>(std::clamp<double>(
      std::floor(Amount * RetryUnits + Tolerance), 0, std::numeric_limits<std::uint32_t>::max()));
}

packed_retry_message pack(const retry_loan_request &Request) {
  return {packed_kind::Request, Request.Service, Request.Number, packAmount(Request.Amount)};
}

packed_retry_message pack(const retry_loan &Loan) {
  return {packed_kind::Loan, Loan.Service, Loan.Number, packAmount(Loan.Amount)};
}

} // namespace

std::string encodeRetryMessage(const std::string &Fleet, const retry_message &Message) {
  const auto Packed = std::visit([](const auto &Item) { return pack(Item); }, Message);
  return encodeEnvelope(Fleet, message_kind::RetryLoans, Packed);
}

result<retry_message, wire_error> decodeRetryMessage(const std::string &Fleet,
                                                     std::span<const char> Bytes) {
  const auto Decoded =
      decodeEnvelope<packed_retry_message>(Fleet, message_kind::RetryLoans, Bytes, MaxReportBytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  const packed_retry_message &Packed = valueOf(Decoded);
  const retry_amount Amount = Packed.AmountUnits / RetryUnits;
  switch (Packed.Kind) {
  case packed_kind::Request:
    return retry_message(retry_loan_request{Packed.Service, Packed.Number, Amount});
  case packed_kind::Loan:
    return retry_message(retry_loan{Packed.Service, Packed.Number, Amount});
  }
  return wire_error::Malformed;
}

} // namespace pollenstall
