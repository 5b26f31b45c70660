/** @file snapshot_files.cpp Snapshot files; the two newest are kept. */
#include "storage/snapshot_files_base.h"

#include "consensus/consensus.h"
#include "core/core.h"
#include "storage/record_type.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <system_error>

namespace pollenstall {

namespace {

constexpr std::string_view NamePrefix = "snapshot-";
constexpr std::uint32_t SnapshotMagic = 0x31534C50; ///< "PLS1" as bytes.
constexpr std::size_t Uint32Size = 4;
constexpr std::size_t Uint64Size = 8;
constexpr std::size_t HeaderSize = 2 * Uint32Size + 2 * Uint64Size;
constexpr std::size_t SnapshotsToKeep = 2;

std::string fileNameOf(log_index Index) {
  std::array<char, 40> Name{};
  std::snprintf(Name.data(), Name.size(), "snapshot-%020llu",
                static_cast<unsigned long long>(Index.value()));
  return Name.data();
}

/// @return Whether this is a temporary file left behind by a crash during store().
bool isUnfinishedFile(const std::string &Name) {
  return Name.compare(0, NamePrefix.size(), NamePrefix) == 0;
}

/// Encodes magic number, index, term, length of the encoded members, the encoded members, the state
/// and a checksum of all preceding bytes.
std::string encode(const log_snapshot &Snapshot) {
  const std::string Members = encodeMembers(Snapshot.Members);
  std::string Bytes;
  appendNumber(Bytes, SnapshotMagic, Uint32Size);
  appendNumber(Bytes, Snapshot.Index.value(), Uint64Size);
  appendNumber(Bytes, Snapshot.Term.value(), Uint64Size);
  appendNumber(Bytes, Members.size(), Uint32Size);
  Bytes += Members;
  Bytes += Snapshot.State;
  appendNumber(Bytes, checksum(Bytes), Uint32Size);
  return Bytes;
}

std::shared_ptr<const log_snapshot> decode(std::string_view Bytes) {
  if (Bytes.size() < HeaderSize + Uint32Size)
    return nullptr;
  const std::string_view Body = Bytes.substr(0, Bytes.size() - Uint32Size);
  if (checksum(Body) != readNumber(Bytes.substr(Body.size()), Uint32Size))
    return nullptr;
  const std::uint64_t MembersSize = readNumber(Body.substr(HeaderSize - Uint32Size), Uint32Size);
  if (readNumber(Body, Uint32Size) != SnapshotMagic || MembersSize > Body.size() - HeaderSize)
    return nullptr;
  auto Members = decodeMembers(Body.substr(HeaderSize, MembersSize));
  if (!Members)
    return nullptr;
  const log_index Index(readNumber(Body.substr(Uint32Size), Uint64Size));
  const term_number Term(readNumber(Body.substr(Uint32Size + Uint64Size), Uint64Size));
  return std::make_shared<const log_snapshot>(log_snapshot{
      Index, Term, std::move(*Members), std::string(Body.substr(HeaderSize + MembersSize))});
}

} // namespace

std::optional<log_index> snapshot_files::indexFromName(const std::string &Name) {
  if (Name.compare(0, NamePrefix.size(), NamePrefix) != 0)
    return std::nullopt;
  const auto Index = parseNumber<std::uint64_t>(std::string_view(Name).substr(NamePrefix.size()));
  return Index ? std::optional(log_index(*Index)) : std::nullopt;
}

storage_result snapshot_files::open(std::vector<std::string> &Repairs) {
  std::error_code Error;
  for (const auto &File : std::filesystem::directory_iterator(Folder, Error)) {
    const auto Index = indexFromName(File.path().filename().string());
    if (Index)
      StoredIndexes.push_back(*Index);
    else if (isUnfinishedFile(File.path().filename().string()))
      (void)removeFile(File.path());
  }
  if (Error)
    return file_failure{"list", Folder, Error.value()};
  std::sort(StoredIndexes.begin(), StoredIndexes.end());
  for (auto Index = StoredIndexes.rbegin(); Index != StoredIndexes.rend() && !Newest; ++Index) {
    const std::filesystem::path Path = Folder / fileNameOf(*Index);
    auto Bytes = readEntireFile(Path);
    if (!succeeded(Bytes))
      return errorOf(Bytes);
    Newest = decode(valueOf(Bytes));
    if (!Newest)
      Repairs.push_back("skipped a corrupt snapshot: " + Path.string());
  }
  if (!Newest && !StoredIndexes.empty())
    return corrupt_file{Folder / fileNameOf(StoredIndexes.back()), 0, "no snapshot is readable"};
  return done{};
}

storage_result snapshot_files::store(std::shared_ptr<const log_snapshot> Snapshot) {
  auto Written = replaceFile(FileSystem, Folder / fileNameOf(Snapshot->Index), encode(*Snapshot));
  if (!succeeded(Written))
    return Written;
  if (StoredIndexes.empty() || StoredIndexes.back() != Snapshot->Index)
    StoredIndexes.push_back(Snapshot->Index);
  Newest = std::move(Snapshot);
  return removeAllBut(SnapshotsToKeep);
}

storage_result snapshot_files::removeOlder() { return removeAllBut(1); }

storage_result snapshot_files::removeAllBut(std::size_t MaxKept) {
  while (StoredIndexes.size() > MaxKept) {
    auto Removed = removeFile(Folder / fileNameOf(StoredIndexes.front()));
    if (!succeeded(Removed))
      return Removed;
    StoredIndexes.erase(StoredIndexes.begin());
  }
  return done{};
}

log_index snapshot_files::compactionLimit() const {
  return StoredIndexes.size() < SnapshotsToKeep ? log_index() : StoredIndexes.front();
}

} // namespace pollenstall
