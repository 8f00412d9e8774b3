#include "files/files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

namespace umberdyke::files {
namespace {

std::string SystemError(const std::string& path, const char* what) {
  return path + ": " + what + ": " + std::strerror(errno);
}

// Owns a descriptor. Close() closes it early and returns the result.
class Descriptor {
 public:
  Descriptor(FileOps& ops, int fd) : ops_(ops), fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ops_.Close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  int Close() {
    const int fd = fd_;
    fd_ = -1;
    return ops_.Close(fd);
  }

 private:
  FileOps& ops_;
  int fd_;
};

}  // namespace

int FileOps::OpenNew(const char* path, mode_t mode) {
  return open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, mode);
}
int FileOps::OpenFolder(const char* path) { return open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC); }
ssize_t FileOps::Write(int fd, const char* bytes, size_t count) { return write(fd, bytes, count); }
int FileOps::Sync(int fd) { return fsync(fd); }
int FileOps::Close(int fd) { return close(fd); }
int FileOps::Rename(const char* from, const char* to) { return rename(from, to); }
int FileOps::Remove(const char* path) { return unlink(path); }

FileOps& SystemOps() {
  static FileOps ops;
  return ops;
}

ReadResult ReadFile(const std::string& path, size_t max_bytes) {
  ReadResult result;
  // O_NONBLOCK: otherwise opening a pipe blocks until it has a writer.
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) {
    result.missing = errno == ENOENT;
    result.error = SystemError(path, "cannot be opened");
    return result;
  }
  const Descriptor descriptor(SystemOps(), fd);
  struct stat status {};
  if (fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
    result.error = path + ": is not a regular file";
    return result;
  }
  // Reads up to one byte above the limit, which shows that the file is too long whatever its reported size.
  std::string text;
  char buffer[65536];
  while (text.size() <= max_bytes) {
    const ssize_t count = read(fd, buffer, std::min(sizeof buffer, max_bytes + 1 - text.size()));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      result.error = SystemError(path, "cannot be read");
      return result;
    }
    if (count == 0) break;
    text.append(buffer, static_cast<size_t>(count));
  }
  result.text = std::move(text);
  return result;
}

std::string WriteFileAtomically(const std::string& path, std::string_view text, FileOps& ops) {
  if (IsSymlink(path)) return path + ": is a symbolic link, which is not written through";
  struct stat status {};
  const bool exists = stat(path.c_str(), &status) == 0;
  if (exists && !S_ISREG(status.st_mode)) return path + ": is not a regular file";
  const mode_t mode = exists ? status.st_mode & 0777 : 0644;
  // The name contains the process id. A file left by a killed process with the same id is removed below.
  const std::string temporary = path + ".new." + std::to_string(getpid());
  int fd = ops.OpenNew(temporary.c_str(), mode);
  if (fd < 0 && errno == EEXIST && ops.Remove(temporary.c_str()) == 0)
    fd = ops.OpenNew(temporary.c_str(), mode);
  if (fd < 0) return SystemError(path, "cannot be written");
  const auto fail = [&](const char* what) {
    const std::string error = SystemError(path, what);
    ops.Remove(temporary.c_str());
    return error;
  };
  {
    Descriptor descriptor(ops, fd);
    while (!text.empty()) {
      const ssize_t written = ops.Write(fd, text.data(), text.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return fail("cannot be written");
      text.remove_prefix(static_cast<size_t>(written));
    }
    if (ops.Sync(fd) != 0) return fail("cannot be synced");
    if (descriptor.Close() != 0) return fail("cannot be closed");
  }
  if (ops.Rename(temporary.c_str(), path.c_str()) != 0) return fail("cannot be renamed into place");
  // The new file is in place now. Without the sync of its folder it may not survive a power failure.
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const int folder_fd = ops.OpenFolder(folder.empty() ? "." : folder.c_str());
  if (folder_fd < 0) return SystemError(path, "is written, but its folder cannot be synced");
  const Descriptor descriptor(ops, folder_fd);
  if (ops.Sync(folder_fd) != 0) return SystemError(path, "is written, but its folder cannot be synced");
  return "";
}

bool IsSymlink(const std::string& path) {
  struct stat status {};
  return lstat(path.c_str(), &status) == 0 && S_ISLNK(status.st_mode);
}

std::vector<std::string> ListFiles(const std::string& folder, std::string* error) {
  std::vector<std::string> names;
  std::error_code code;
  std::filesystem::directory_iterator it(folder, code);
  for (; !code && it != std::filesystem::directory_iterator(); it.increment(code)) {
    std::error_code ignored;
    if (it->is_regular_file(ignored)) names.push_back(it->path().filename().string());
  }
  if (code) *error = folder + ": cannot be listed: " + code.message();
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace umberdyke::files
