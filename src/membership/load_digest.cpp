/** @file load_digest.cpp Packs a load report and its age into a load_digest. */
#include "membership/load_digest_func.h"

#include <algorithm>
#include <limits>

namespace pollenstall {

namespace {

constexpr unsigned MantissaBits = 11;
constexpr std::int64_t MantissaLimit = 1LL << MantissaBits;
constexpr unsigned MaxExponent = 31;

constexpr std::uint16_t LeavingBit = 0x8000;
constexpr std::uint16_t LostBit = 0x4000;
constexpr std::uint16_t AgeMask = 0x3FFF;
constexpr mono_duration AgeStep = std::chrono::milliseconds(50);

std::uint16_t saturate(std::uint32_t Value) {
  return static_cast<std::uint16_t>(
      std::min<std::uint32_t>(Value, std::numeric_limits<std::uint16_t>::max()));
}

std::uint16_t packState(const digest_state &State) {
  const auto Steps = std::clamp<std::int64_t>(State.Age / AgeStep, 0, AgeMask);
  unsigned Packed = static_cast<unsigned>(Steps);
  if (State.Leaving)
    Packed |= LeavingBit;
  if (State.Lost)
    Packed |= LostBit;
  return static_cast<std::uint16_t>(Packed);
}

} // namespace

std::uint16_t packAmount(std::int64_t Value) {
  std::int64_t Mantissa = std::max<std::int64_t>(Value, 0);
  unsigned Exponent = 0;
  while (Mantissa >= MantissaLimit && Exponent < MaxExponent) {
    Mantissa >>= 1;
    ++Exponent;
  }
  Mantissa = std::min(Mantissa, MantissaLimit - 1);
  return static_cast<std::uint16_t>((Exponent << MantissaBits) | static_cast<unsigned>(Mantissa));
}

std::int64_t unpackAmount(std::uint16_t Packed) {
  const unsigned Exponent = static_cast<unsigned>(Packed) >> MantissaBits;
  const std::int64_t Mantissa = Packed & (MantissaLimit - 1);
  return Mantissa << Exponent;
}

std::uint32_t digestId(const backend_key &Key) {
  return static_cast<std::uint32_t>(
      combineHashes(stableHash(Key.Address.str()), Key.Incarnation.value()));
}

load_digest packLoad(const backend_key &Key, const backend_load &Load, const digest_state &State) {
  load_digest Digest;
  Digest.Backend = digestId(Key);
  Digest.Sequence = static_cast<std::uint32_t>(Load.Sequence);
  Digest.AgeFlags = packState(State);
  Digest.Running = saturate(Load.Running);
  Digest.Waiting = saturate(Load.Waiting);
  Digest.Prefill = packAmount(Load.WaitingPrefill.value());
  Digest.Used = packAmount(Load.UsedBlocks.value());
  Digest.Cached = packAmount(Load.CachedBlocks.value());
  return Digest;
}

digest_state unpackState(const load_digest &Digest) {
  return {AgeStep * (Digest.AgeFlags & AgeMask), (Digest.AgeFlags & LeavingBit) != 0,
          (Digest.AgeFlags & LostBit) != 0};
}

backend_load unpackLoad(const load_digest &Digest, std::uint64_t ReferenceSequence) {
  const std::int64_t Step =
      static_cast<std::int32_t>(Digest.Sequence - static_cast<std::uint32_t>(ReferenceSequence));
  backend_load Load;
  const bool BeforeFirst = Step < 0 && static_cast<std::uint64_t>(-Step) > ReferenceSequence;
  Load.Sequence = BeforeFirst ? 0 : ReferenceSequence + static_cast<std::uint64_t>(Step);
  Load.Running = Digest.Running;
  Load.Waiting = Digest.Waiting;
  Load.WaitingPrefill = tokens(unpackAmount(Digest.Prefill));
  Load.UsedBlocks = memory_blocks(unpackAmount(Digest.Used));
  Load.CachedBlocks = memory_blocks(unpackAmount(Digest.Cached));
  return Load;
}

} // namespace pollenstall
