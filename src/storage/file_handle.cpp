/** @file file_handle.cpp RAII file descriptors, reads of whole files and atomic replacement. */
#include "storage/file_handle_base.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace pollenstall {

namespace {
constexpr mode_t OwnerOnly = 0600;
constexpr std::size_t ReadChunk = 1U << 16U;
} // namespace

file_system osFileSystem() {
  return {[](int File, const void *Bytes, std::size_t Size) { return ::write(File, Bytes, Size); },
          [](int File) { return ::fdatasync(File); }, [](int File) { return ::fsync(File); },
          [](const char *From, const char *To) { return ::rename(From, To); },
          [](int File, off_t Size) { return ::ftruncate(File, Size); }};
}

file_handle::~file_handle() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

file_handle::file_handle(file_handle &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

file_handle &file_handle::operator=(file_handle &&Other) noexcept {
  std::swap(Descriptor, Other.Descriptor);
  return *this;
}

storage_error errorFromErrno(std::string Operation, const std::filesystem::path &Path) {
  if (errno == ENOSPC || errno == EDQUOT)
    return disk_full{Path};
  return file_failure{std::move(Operation), Path, errno};
}

result<file_handle, storage_error> openFile(const std::filesystem::path &Path, int Flags) {
  const int Descriptor = ::open(Path.c_str(), Flags | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    return errorFromErrno("open", Path);
  return file_handle(Descriptor);
}

storage_result writeAll(const file_system &FileSystem, const file_handle &File,
                        std::string_view Bytes, const std::filesystem::path &Path) {
  while (!Bytes.empty()) {
    const ssize_t Written = FileSystem.Write(File.descriptor(), Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return errorFromErrno("write", Path);
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return done{};
}

result<std::string, storage_error> readEntireFile(const std::filesystem::path &Path) {
  auto Opened = openFile(Path, O_RDONLY);
  if (!succeeded(Opened))
    return errorOf(Opened);
  std::string Bytes;
  std::string Chunk(ReadChunk, '\0');
  while (true) {
    const ssize_t BytesRead = ::read(valueOf(Opened).descriptor(), Chunk.data(), Chunk.size());
    if (BytesRead < 0 && errno == EINTR)
      continue;
    if (BytesRead < 0)
      return errorFromErrno("read", Path);
    if (BytesRead == 0)
      return Bytes;
    Bytes.append(Chunk, 0, static_cast<std::size_t>(BytesRead));
  }
}

storage_result syncFolder(const file_system &FileSystem, const std::filesystem::path &Folder) {
  const auto Opened = openFile(Folder, O_RDONLY | O_DIRECTORY);
  if (!succeeded(Opened))
    return errorOf(Opened);
  if (FileSystem.Sync(valueOf(Opened).descriptor()) != 0)
    return errorFromErrno("sync", Folder);
  return done{};
}

storage_result replaceFile(const file_system &FileSystem, const std::filesystem::path &Path,
                           std::string_view Bytes) {
  std::filesystem::path Temporary = Path;
  Temporary += ".tmp";
  const auto Opened = openFile(Temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (!succeeded(Opened))
    return errorOf(Opened);
  auto Written = writeAll(FileSystem, valueOf(Opened), Bytes, Temporary);
  if (!succeeded(Written))
    return Written;
  if (FileSystem.Sync(valueOf(Opened).descriptor()) != 0)
    return errorFromErrno("sync", Temporary);
  if (FileSystem.Rename(Temporary.c_str(), Path.c_str()) != 0)
    return errorFromErrno("rename", Path);
  return syncFolder(FileSystem, Path.parent_path());
}

storage_result removeFile(const std::filesystem::path &Path) {
  if (::unlink(Path.c_str()) != 0 && errno != ENOENT)
    return errorFromErrno("remove", Path);
  return done{};
}

} // namespace pollenstall
