/** @file text_difference.cpp Both texts are cut into pieces where a table or a line begins; pieces
 * that the old text has are copied from there. */
#include "text_difference/text_difference_func.h"

#include "core/core.h"

#include <algorithm>
#include <unordered_map>

namespace pollenstall {

namespace {

/// Declarations are JSON without line breaks, or TOML: a changed route or key changes one piece.
constexpr std::string_view PieceStarts = "{\n";

/// @return The piece at the front of Rest, of one byte at least.
std::string_view firstPiece(std::string_view Rest) {
  return Rest.substr(0, Rest.find_first_of(PieceStarts, 1));
}

/// Where each piece of a text stands first.
std::unordered_map<std::string_view, std::size_t> placesOfPieces(std::string_view Text) {
  std::unordered_map<std::string_view, std::size_t> Places;
  for (std::size_t At = 0; At < Text.size();) {
    const std::string_view Piece = firstPiece(Text.substr(At));
    Places.try_emplace(Piece, At);
    At += Piece.size();
  }
  return Places;
}

/// Puts pieces that follow each other in the old text into one step.
class step_list {
public:
  void copy(std::size_t From, std::size_t Bytes) {
    const bool Follows = !Steps.empty() && Steps.back().Inserted.empty() &&
                         Steps.back().CopyBytes > 0 &&
                         Steps.back().CopyOffset + Steps.back().CopyBytes == From;
    if (Follows)
      Steps.back().CopyBytes += static_cast<std::uint32_t>(Bytes);
    else
      Steps.push_back(
          {static_cast<std::uint32_t>(From), static_cast<std::uint32_t>(Bytes), std::string()});
  }
  void add(std::string_view Own) {
    if (Steps.empty())
      Steps.emplace_back();
    Steps.back().Inserted.append(Own);
  }
  [[nodiscard]] std::vector<difference_step> take() { return std::move(Steps); }

private:
  std::vector<difference_step> Steps;
};

} // namespace

text_difference computeDifference(std::string_view Old, std::string_view New) {
  const auto Places = placesOfPieces(Old);
  step_list Steps;
  // Where a piece stands several times, the one that goes on behind the last copy is meant.
  std::size_t Expected = 0;
  for (std::size_t At = 0; At < New.size();) {
    const std::string_view Piece = firstPiece(New.substr(At));
    const auto Found = Places.find(Piece);
    if (Found == Places.end()) {
      Steps.add(Piece);
    } else {
      const bool GoesOn = Old.substr(std::min(Expected, Old.size())).starts_with(Piece);
      const std::size_t From = GoesOn ? Expected : Found->second;
      Steps.copy(From, Piece.size());
      Expected = From + Piece.size();
    }
    At += Piece.size();
  }
  return {stableHash(Old), stableHash(New), Steps.take()};
}

std::optional<std::string> applyDifference(std::string_view Old, const text_difference &Difference,
                                           std::size_t MostBytes) {
  if (stableHash(Old) != Difference.OldHash)
    return std::nullopt;
  std::string New;
  for (const difference_step &Step : Difference.Steps) {
    const bool Within =
        Step.CopyOffset <= Old.size() && Step.CopyBytes <= Old.size() - Step.CopyOffset;
    if (!Within || New.size() + Step.CopyBytes + Step.Inserted.size() > MostBytes)
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
