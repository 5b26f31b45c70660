/** @file snapshot_files.cpp Snapshots as files, the newest two of them kept. */
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
constexpr std::uint32_t SnapshotMark = 0x31534C50; ///< "PLS1" as bytes.
constexpr std::size_t Word = 4;
constexpr std::size_t DoubleWord = 8;
constexpr std::size_t HeadSize = 2 * Word + 2 * DoubleWord;
constexpr std::size_t KeptSnapshots = 2;

std::string nameOf(log_index Index) {
  std::array<char, 40> Name{};
  std::snprintf(Name.data(), Name.size(), "snapshot-%020llu",
                static_cast<unsigned long long>(Index.value()));
  return Name.data();
}

/// @return Whether a crash left this behind in the middle of store().
bool isUnfinished(const std::string &Name) {
  return Name.compare(0, NamePrefix.size(), NamePrefix) == 0;
}

/// Mark, index, term, length of the members' text, the text, the state, checksum of all before.
std::string encode(const log_snapshot &Snapshot) {
  const std::string Members = encodeMembers(Snapshot.Members);
  std::string Bytes;
  appendNumber(Bytes, SnapshotMark, Word);
  appendNumber(Bytes, Snapshot.Index.value(), DoubleWord);
  appendNumber(Bytes, Snapshot.Term.value(), DoubleWord);
  appendNumber(Bytes, Members.size(), Word);
  Bytes += Members;
  Bytes += Snapshot.State;
  appendNumber(Bytes, checksum(Bytes), Word);
  return Bytes;
}

std::shared_ptr<const log_snapshot> decode(std::string_view Bytes) {
  if (Bytes.size() < HeadSize + Word)
    return nullptr;
  const std::string_view Body = Bytes.substr(0, Bytes.size() - Word);
  if (checksum(Body) != readNumber(Bytes.substr(Body.size()), Word))
    return nullptr;
  const std::uint64_t MembersSize = readNumber(Body.substr(HeadSize - Word), Word);
  if (readNumber(Body, Word) != SnapshotMark || MembersSize > Body.size() - HeadSize)
    return nullptr;
  auto Members = decodeMembers(Body.substr(HeadSize, MembersSize));
  if (!Members)
    return nullptr;
  const log_index Index(readNumber(Body.substr(Word), DoubleWord));
  const term_number Term(readNumber(Body.substr(Word + DoubleWord), DoubleWord));
  return std::make_shared<const log_snapshot>(log_snapshot{
      Index, Term, std::move(*Members), std::string(Body.substr(HeadSize + MembersSize))});
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
      Stored.push_back(*Index);
    else if (isUnfinished(File.path().filename().string()))
      (void)removeFile(File.path());
  }
  if (Error)
    return file_failure{"list", Folder, Error.value()};
  std::sort(Stored.begin(), Stored.end());
  for (auto Index = Stored.rbegin(); Index != Stored.rend() && !Newest; ++Index) {
    const std::filesystem::path Path = Folder / nameOf(*Index);
    auto Bytes = readWhole(Path);
    if (!succeeded(Bytes))
      return errorOf(Bytes);
    Newest = decode(valueOf(Bytes));
    if (!Newest)
      Repairs.push_back("passed over a damaged snapshot: " + Path.string());
  }
  if (!Newest && !Stored.empty())
    return damaged_file{Folder / nameOf(Stored.back()), 0, "no snapshot can be read"};
  return done{};
}

storage_result snapshot_files::store(std::shared_ptr<const log_snapshot> Snapshot) {
  auto Written = replaceFile(Files, Folder / nameOf(Snapshot->Index), encode(*Snapshot));
  if (!succeeded(Written))
    return Written;
  if (Stored.empty() || Stored.back() != Snapshot->Index)
    Stored.push_back(Snapshot->Index);
  Newest = std::move(Snapshot);
  return dropAllBut(KeptSnapshots);
}

storage_result snapshot_files::dropOlder() { return dropAllBut(1); }

storage_result snapshot_files::dropAllBut(std::size_t Kept) {
  while (Stored.size() > Kept) {
    auto Removed = removeFile(Folder / nameOf(Stored.front()));
    if (!succeeded(Removed))
      return Removed;
    Stored.erase(Stored.begin());
  }
  return done{};
}

log_index snapshot_files::coveredByAll() const {
  return Stored.size() < KeptSnapshots ? log_index() : Stored.front();
}

} // namespace pollenstall
