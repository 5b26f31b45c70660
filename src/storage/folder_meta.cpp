/** @file folder_meta.cpp The small files of a data folder: identity, and term with vote. */
#include "storage/folder_meta_func.h"

#include "storage/record_type.h"

#include <system_error>

namespace pollenstall {

namespace {

constexpr const char *IdentityName = "identity";
constexpr const char *MetaName = "meta";
constexpr std::size_t Uint64Size = 8;
constexpr std::size_t ChecksumSize = 4;
constexpr std::size_t IdentityFields = 2; ///< Member and disk; the fleet's name follows.
constexpr std::size_t MetaFields = 3;     ///< Term, vote's member, vote's disk.
/// Behind them: the term, member and disk of the leader that was answered last. Older folders have
/// none, which reads as one that is not known.
constexpr std::size_t FollowedLeaderFields = 3;

std::string withChecksum(std::string Bytes) {
  appendNumber(Bytes, checksum(Bytes), ChecksumSize);
  return Bytes;
}

/// @return The bytes before the checksum, or the error that it does not fit.
result<std::string, storage_error> readChecksummedFile(const std::filesystem::path &Path,
                                                       std::size_t MinSize) {
  auto Read = readEntireFile(Path);
  if (!succeeded(Read))
    return errorOf(Read);
  std::string &Bytes = valueOf(Read);
  if (Bytes.size() < MinSize + ChecksumSize)
    return corrupt_file{Path, 0, "it is too short"};
  const std::uint64_t StoredChecksum =
      readNumber(std::string_view(Bytes).substr(Bytes.size() - ChecksumSize), ChecksumSize);
  Bytes.resize(Bytes.size() - ChecksumSize);
  if (checksum(Bytes) != StoredChecksum)
    return corrupt_file{Path, 0, "its checksum does not fit"};
  return std::move(Bytes);
}

std::uint64_t fieldAt(std::string_view Bytes, std::size_t Place) {
  return readNumber(Bytes.substr(Place * Uint64Size), Uint64Size);
}

} // namespace

result<std::optional<folder_identity>, storage_error>
readIdentity(const std::filesystem::path &Folder) {
  std::error_code Error;
  if (!std::filesystem::exists(Folder / IdentityName, Error))
    return std::optional<folder_identity>();
  const auto Read = readChecksummedFile(Folder / IdentityName, IdentityFields * Uint64Size);
  if (!succeeded(Read))
    return errorOf(Read);
  const std::string &Bytes = valueOf(Read);
  const member_key Key{member_id(fieldAt(Bytes, 0)), disk_identity(fieldAt(Bytes, 1))};
  return std::optional(folder_identity{Bytes.substr(IdentityFields * Uint64Size), Key});
}

storage_result writeIdentity(const file_system &FileSystem, const std::filesystem::path &Folder,
                             const folder_identity &Identity) {
  std::string Bytes;
  appendNumber(Bytes, Identity.Key.Member.value(), Uint64Size);
  appendNumber(Bytes, Identity.Key.Disk.value(), Uint64Size);
  Bytes += Identity.Fleet;
  return replaceFile(FileSystem, Folder / IdentityName, withChecksum(std::move(Bytes)));
}

result<hard_state, storage_error> readHardState(const std::filesystem::path &Folder) {
  const auto Read = readChecksummedFile(Folder / MetaName, MetaFields * Uint64Size);
  if (!succeeded(Read))
    return errorOf(Read);
  const std::string &Bytes = valueOf(Read);
  const member_key Vote{member_id(fieldAt(Bytes, 1)), disk_identity(fieldAt(Bytes, 2))};
  hard_state Hard{term_number(fieldAt(Bytes, 0)), Vote};
  if (Bytes.size() >= (MetaFields + FollowedLeaderFields) * Uint64Size)
    Hard.Followed = {term_number(fieldAt(Bytes, 3)),
                     {member_id(fieldAt(Bytes, 4)), disk_identity(fieldAt(Bytes, 5))}};
  return Hard;
}

storage_result writeHardState(const file_system &FileSystem, const std::filesystem::path &Folder,
                              const hard_state &Hard) {
  std::string Bytes;
  appendNumber(Bytes, Hard.Term.value(), Uint64Size);
  appendNumber(Bytes, Hard.Vote.Member.value(), Uint64Size);
  appendNumber(Bytes, Hard.Vote.Disk.value(), Uint64Size);
  appendNumber(Bytes, Hard.Followed.Term.value(), Uint64Size);
  appendNumber(Bytes, Hard.Followed.Member.Member.value(), Uint64Size);
  appendNumber(Bytes, Hard.Followed.Member.Disk.value(), Uint64Size);
  return replaceFile(FileSystem, Folder / MetaName, withChecksum(std::move(Bytes)));
}

} // namespace pollenstall
