/** @file text_difference.cpp Splits both texts into pieces at the start of each table or line
 * and copies the pieces that the old text has. */
#include "text_difference/text_difference_func.h"

#include "core/core.h"

#include <algorithm>
#include <unordered_map>

namespace pollenstall {

namespace {

/// Characters that start a piece. Declarations are JSON without line breaks, or TOML, so a changed
/// route or key changes one piece.
constexpr std::string_view PieceStarts = "{\n";

/// @return The first piece of the remaining text, which must not be empty; at least one byte.
std::string_view firstPiece(std::string_view Remaining) {
  return Remaining.substr(0, Remaining.find_first_of(PieceStarts, 1));
}

/// @return The offset of the first occurrence of each piece.
std::unordered_map<std::string_view, std::size_t> firstPieceOffsets(std::string_view Text) {
  std::unordered_map<std::string_view, std::size_t> Offsets;
  for (std::size_t Position = 0; Position < Text.size();) {
    const std::string_view Piece = firstPiece(Text.substr(Position));
    Offsets.try_emplace(Piece, Position);
    Position += Piece.size();
  }
  return Offsets;
}

/// Builds the list of steps; copies of adjacent pieces of the old text become one step.
class step_list_builder {
public:
  void copy(std::size_t Offset, std::size_t Bytes) {
    const bool IsAdjacent = !Steps.empty() && Steps.back().Inserted.empty() &&
                            Steps.back().CopyBytes > 0 &&
                            Steps.back().CopyOffset + Steps.back().CopyBytes == Offset;
    if (IsAdjacent)
      Steps.back().CopyBytes += static_cast<std::uint32_t>(Bytes);
    else
      Steps.push_back(
          {static_cast<std::uint32_t>(Offset), static_cast<std::uint32_t>(Bytes), std::string()});
  }
  void insert(std::string_view NewText) {
    if (Steps.empty())
      Steps.emplace_back();
    Steps.back().Inserted.append(NewText);
  }
  [[nodiscard]] std::vector<difference_step> take() { return std::move(Steps); }

private:
  std::vector<difference_step> Steps;
};

} // namespace

text_difference computeDifference(std::string_view Old, std::string_view New) {
  const auto Offsets = firstPieceOffsets(Old);
  step_list_builder Steps;
  // If the old text has a piece several times, the occurrence right after the last copy is
  // preferred, since it extends that copy.
  std::size_t NextCopyOffset = 0;
  for (std::size_t Position = 0; Position < New.size();) {
    const std::string_view Piece = firstPiece(New.substr(Position));
    const auto Found = Offsets.find(Piece);
    if (Found == Offsets.end()) {
      Steps.insert(Piece);
    } else {
      const bool Continues = Old.substr(std::min(NextCopyOffset, Old.size())).starts_with(Piece);
      const std::size_t CopyOffset = Continues ? NextCopyOffset : Found->second;
      Steps.copy(CopyOffset, Piece.size());
      NextCopyOffset = CopyOffset + Piece.size();
    }
    Position += Piece.size();
  }
  return {stableHash(Old), stableHash(New), Steps.take()};
}

std::optional<std::string> applyDifference(std::string_view Old, const text_difference &Difference,
                                           std::size_t MaxBytes) {
  if (stableHash(Old) != Difference.OldHash)
    return std::nullopt;
  std::string New;
  for (const difference_step &Step : Difference.Steps) {
    const bool InRange =
        Step.CopyOffset <= Old.size() && Step.CopyBytes <= Old.size() - Step.CopyOffset;
    if (!InRange || New.size() + Step.CopyBytes + Step.Inserted.size() > MaxBytes)
      return std::nullopt;
    New.append(Old.substr(Step.CopyOffset, Step.CopyBytes)).append(Step.Inserted);
  }
  if (stableHash(New) != Difference.NewHash)
    return std::nullopt;
  return New;
}

std::size_t estimateEncodedBytes(const text_difference &Difference) {
  constexpr std::size_t StepBytes = 2 * sizeof(std::uint32_t) + sizeof(std::uint64_t);
  std::size_t Bytes = 2 * sizeof(std::uint64_t);
  for (const difference_step &Step : Difference.Steps)
    Bytes += StepBytes + Step.Inserted.size();
  return Bytes;
}

} // namespace pollenstall
