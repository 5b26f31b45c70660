/** @file log_segment.cpp Reading, appending to and truncating one segment file of the log. */
#include "storage/log_segment_base.h"

#include "core/core.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace pollenstall {

namespace {

constexpr std::string_view NamePrefix = "log-";
constexpr std::size_t SectorSize = 512;

std::string fileNameOf(log_index First) {
  std::array<char, 32> Name{};
  std::snprintf(Name.data(), Name.size(), "log-%020llu",
                static_cast<unsigned long long>(First.value()));
  return Name.data();
}

/// @return Whether a sector, or its part within [From, To), holds only zeros.
bool hasUnwrittenSector(std::string_view Bytes, std::size_t From, std::size_t To) {
  while (From < To) {
    const std::size_t End = std::min(To, (From / SectorSize + 1) * SectorSize);
    const std::string_view Sector = Bytes.substr(From, End - From);
    if (std::all_of(Sector.begin(), Sector.end(), [](char Byte) { return Byte == 0; }))
      return true;
    From = End;
  }
  return false;
}

/// @return Whether a later record shows that the record at Offset was synced.
bool wasSynced(std::string_view Bytes, std::size_t Offset) {
  for (std::size_t LaterOffset = Offset + 1; LaterOffset + RecordHeaderSize <= Bytes.size();
       ++LaterOffset) {
    const read_record Later = readRecord(Bytes.substr(LaterOffset));
    if (Later.Status == record_status::Valid && Later.SyncedTo > Offset)
      return true;
  }
  return false;
}

/**
 * Returns whether an invalid record was torn by a crash before it was synced: the file ends early,
 * or a sector that did not reach the disk reads as zeros. Any other invalid record was valid once
 * and is corrupt; truncating it would silently remove acknowledged entries.
 */
bool isTorn(std::string_view Bytes, std::size_t Offset, const read_record &Record) {
  if (wasSynced(Bytes, Offset))
    return false;
  if (Record.Status == record_status::Truncated)
    return true;
  const std::size_t CheckedSize = Record.Size != 0 ? Record.Size : RecordHeaderSize;
  return hasUnwrittenSector(Bytes, Offset, std::min(Bytes.size(), Offset + CheckedSize));
}

} // namespace

log_segment::log_segment(std::filesystem::path FilePath, log_index FirstIndex, file_handle NewFile)
    : Path(std::move(FilePath)), First(FirstIndex), File(std::move(NewFile)) {}

std::optional<log_index> log_segment::firstIndexFromName(const std::string &Name) {
  if (Name.compare(0, NamePrefix.size(), NamePrefix) != 0)
    return std::nullopt;
  const auto First = parseNumber<std::uint64_t>(std::string_view(Name).substr(NamePrefix.size()));
  return First ? std::optional(log_index(*First)) : std::nullopt;
}

result<log_segment, storage_error> log_segment::create(const file_system &FileSystem,
                                                       const std::filesystem::path &Folder,
                                                       log_index First) {
  const std::filesystem::path Path = Folder / fileNameOf(First);
  auto NewFile = openFile(Path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  if (!succeeded(NewFile))
    return errorOf(NewFile);
  const auto Synced = syncFolder(FileSystem, Folder);
  if (!succeeded(Synced))
    return errorOf(Synced);
  return log_segment(Path, First, std::move(valueOf(NewFile)));
}

result<log_segment::open_result, storage_error> log_segment::open(const file_system &FileSystem,
                                                                  const std::filesystem::path &Path,
                                                                  log_index First, bool IsLast) {
  auto Contents = readEntireFile(Path);
  if (!succeeded(Contents))
    return errorOf(Contents);
  auto File = openFile(Path, O_WRONLY | O_APPEND);
  if (!succeeded(File))
    return errorOf(File);
  open_result Result{log_segment(Path, First, std::move(valueOf(File))), {}, 0};
  const std::string_view Bytes = valueOf(Contents);
  std::size_t Offset = 0;
  while (Offset < Bytes.size()) {
    read_record Record = readRecord(Bytes.substr(Offset));
    if (Record.Status != record_status::Valid) {
      if (!IsLast || !isTorn(Bytes, Offset, Record))
        return corrupt_file{Path, Offset, "the checksum of a record does not match"};
      break;
    }
    if (Record.Entry.Index != Result.Segment.last().next())
      return corrupt_file{Path, Offset, "an index is out of order"};
    Result.Segment.Offsets.push_back(Offset);
    Result.Entries.push_back(std::move(Record.Entry));
    Offset += Record.Size;
  }
  Result.TruncatedBytes = Bytes.size() - Offset;
  const auto TruncateResult = Result.Segment.truncateTo(FileSystem, Offset);
  if (!succeeded(TruncateResult))
    return errorOf(TruncateResult);
  return Result;
}

storage_result log_segment::append(const file_system &FileSystem, const log_entry *Begin,
                                   const log_entry *End) {
  std::string Bytes;
  std::vector<std::uint64_t> Starts;
  for (const log_entry *Entry = Begin; Entry != End; ++Entry) {
    Starts.push_back(Size + Bytes.size());
    appendRecord(Bytes, *Entry, Synced);
  }
  auto Written = writeAll(FileSystem, File, Bytes, Path);
  if (!succeeded(Written)) {
    // Removes the partly written records, so that the file is valid after a full disk. If that
    // fails as well, the next open() truncates them as a torn tail.
    (void)FileSystem.Truncate(File.descriptor(), static_cast<off_t>(Size));
    return Written;
  }
  Size += Bytes.size();
  Offsets.insert(Offsets.end(), Starts.begin(), Starts.end());
  return done{};
}

storage_result log_segment::sync(const file_system &FileSystem) {
  if (FileSystem.SyncData(File.descriptor()) != 0)
    return errorFromErrno("sync", Path);
  Synced = Size;
  return done{};
}

storage_result log_segment::truncateTo(const file_system &FileSystem, std::uint64_t Length) {
  // Synced immediately: after a crash, old records behind new, unsynced ones would look like
  // corruption in the middle of the file.
  if (FileSystem.Truncate(File.descriptor(), static_cast<off_t>(Length)) != 0)
    return errorFromErrno("truncate", Path);
  Size = Length;
  return sync(FileSystem);
}

storage_result log_segment::truncateFrom(const file_system &FileSystem, log_index Index) {
  const std::size_t KeptEntries = Index.value() - First.value();
  if (KeptEntries >= Offsets.size())
    return done{};
  const std::uint64_t Length = Offsets[KeptEntries];
  Offsets.resize(KeptEntries);
  return truncateTo(FileSystem, Length);
}

} // namespace pollenstall
