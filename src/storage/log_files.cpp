/** @file log_files.cpp The log as a sequence of segment files. */
#include "storage/log_files_base.h"

#include <map>
#include <system_error>

namespace pollenstall {

storage_result log_files::open(std::vector<log_entry> &Entries, std::vector<std::string> &Repairs) {
  std::map<log_index, std::filesystem::path> Paths;
  std::error_code Error;
  for (const auto &File : std::filesystem::directory_iterator(Folder, Error)) {
    const auto First = log_segment::firstIndexFromName(File.path().filename().string());
    if (First)
      Paths.emplace(*First, File.path());
  }
  if (Error)
    return file_failure{"list", Folder, Error.value()};
  for (const auto &[First, Path] : Paths) {
    if (!Segments.empty() && First != Segments.back().last().next())
      return corrupt_file{Path, 0, "entries are missing before this segment"};
    const bool IsLast = First == Paths.rbegin()->first;
    auto Opened = log_segment::open(FileSystem, Path, First, IsLast);
    if (!succeeded(Opened))
      return errorOf(Opened);
    log_segment::open_result &ReadSegment = valueOf(Opened);
    if (ReadSegment.TruncatedBytes != 0)
      Repairs.push_back("truncated " + std::to_string(ReadSegment.TruncatedBytes) +
                        " bytes of a torn tail from " + Path.string());
    std::move(ReadSegment.Entries.begin(), ReadSegment.Entries.end(), std::back_inserter(Entries));
    Segments.push_back(std::move(ReadSegment.Segment));
  }
  return done{};
}

storage_result log_files::rollOver(log_index First) {
  // Only the last segment may be torn, so the one before it is synced first.
  auto Synced = sync();
  if (!succeeded(Synced))
    return Synced;
  auto Created = log_segment::create(FileSystem, Folder, First);
  if (!succeeded(Created))
    return errorOf(Created);
  Segments.push_back(std::move(valueOf(Created)));
  return done{};
}

storage_result log_files::append(const std::vector<log_entry> &Entries) {
  const log_entry *NextEntry = Entries.data();
  const log_entry *End = NextEntry + Entries.size();
  while (NextEntry != End) {
    const bool Full = Segments.empty() || Segments.back().size() >= SegmentBytes;
    if (Full) {
      auto Rolled = rollOver(NextEntry->Index);
      if (!succeeded(Rolled))
        return Rolled;
    }
    requireInvariant(NextEntry->Index == Segments.back().last().next(),
                     "entries are written without gaps");
    std::uint64_t Bytes = Segments.back().size();
    const log_entry *BatchEnd = NextEntry;
    while (BatchEnd != End && (BatchEnd == NextEntry || Bytes < SegmentBytes)) {
      Bytes += RecordHeaderSize + BatchEnd->Payload.size();
      ++BatchEnd;
    }
    auto Written = Segments.back().append(FileSystem, NextEntry, BatchEnd);
    if (!succeeded(Written))
      return Written;
    Unsynced = true;
    NextEntry = BatchEnd;
  }
  return done{};
}

storage_result log_files::sync() {
  if (!Unsynced)
    return done{};
  Unsynced = false;
  return Segments.back().sync(FileSystem);
}

storage_result log_files::truncateFrom(log_index Index) {
  while (!Segments.empty() && Segments.back().first() >= Index) {
    auto Removed = removeFile(Segments.back().path());
    if (!succeeded(Removed))
      return Removed;
    auto Synced = syncFolder(FileSystem, Folder);
    if (!succeeded(Synced))
      return Synced;
    Segments.pop_back();
    Unsynced = false;
  }
  if (Segments.empty())
    return done{};
  return Segments.back().truncateFrom(FileSystem, Index);
}

storage_result log_files::compactTo(log_index Index) {
  bool Removed = false;
  while (Segments.size() > 1 && Segments.front().last() <= Index) {
    auto RemoveResult = removeFile(Segments.front().path());
    if (!succeeded(RemoveResult))
      return RemoveResult;
    Segments.pop_front();
    Removed = true;
  }
  return Removed ? syncFolder(FileSystem, Folder) : storage_result(done{});
}

storage_result log_files::removeAll() { return truncateFrom(log_index()); }

} // namespace pollenstall
