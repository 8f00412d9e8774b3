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

std::string Why(const std::string& path, const char* what) {
  return path + ": " + what + ": " + std::strerror(errno);
}

// Closes on every way out; a descriptor closed by hand is taken out first.
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

ReadResult ReadFile(const std::string& path, size_t most) {
  ReadResult result;
  // Without waiting: opening a pipe would otherwise wait for its writer.
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) {
    result.missing = errno == ENOENT;
    result.error = Why(path, "cannot be opened");
    return result;
  }
  const Descriptor descriptor(SystemOps(), fd);
  struct stat about {};
  if (fstat(fd, &about) != 0 || !S_ISREG(about.st_mode)) {
    result.error = path + ": is no regular file";
    return result;
  }
  // One byte more than allowed tells that there is more, whatever the size was said to be.
  std::string text;
  char buffer[65536];
  while (text.size() <= most) {
    const ssize_t got = read(fd, buffer, std::min(sizeof buffer, most + 1 - text.size()));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) {
      result.error = Why(path, "cannot be read");
      return result;
    }
    if (got == 0) break;
    text.append(buffer, static_cast<size_t>(got));
  }
  result.text = std::move(text);
  return result;
}

std::string WriteFileAtomically(const std::string& path, std::string_view text, FileOps& ops) {
  if (IsSymlink(path)) return path + ": is a symbolic link, which is not written through";
  struct stat about {};
  const bool there = stat(path.c_str(), &about) == 0;
  if (there && !S_ISREG(about.st_mode)) return path + ": is no regular file";
  const mode_t mode = there ? about.st_mode & 0777 : 0644;
  // A name of this process's own; one left by a killed writer of the same number is in nobody's way for long.
  const std::string draft = path + ".new." + std::to_string(getpid());
  int fd = ops.OpenNew(draft.c_str(), mode);
  if (fd < 0 && errno == EEXIST && ops.Remove(draft.c_str()) == 0) fd = ops.OpenNew(draft.c_str(), mode);
  if (fd < 0) return Why(path, "cannot be written");
  const auto fail = [&](const char* what) {
    const std::string why = Why(path, what);
    ops.Remove(draft.c_str());
    return why;
  };
  {
    Descriptor descriptor(ops, fd);
    while (!text.empty()) {
      const ssize_t wrote = ops.Write(fd, text.data(), text.size());
      if (wrote < 0 && errno == EINTR) continue;
      if (wrote <= 0) return fail("cannot be written");
      text.remove_prefix(static_cast<size_t>(wrote));
    }
    if (ops.Sync(fd) != 0) return fail("cannot be synced");
    if (descriptor.Close() != 0) return fail("cannot be closed");
  }
  if (ops.Rename(draft.c_str(), path.c_str()) != 0) return fail("cannot be put in place");
  // The new file is in place from here on; only whether it outlasts a power cut is open.
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const int folder_fd = ops.OpenFolder(folder.empty() ? "." : folder.c_str());
  if (folder_fd < 0) return Why(path, "is written, but its folder cannot be synced");
  const Descriptor descriptor(ops, folder_fd);
  if (ops.Sync(folder_fd) != 0) return Why(path, "is written, but its folder cannot be synced");
  return "";
}

bool IsSymlink(const std::string& path) {
  struct stat about {};
  return lstat(path.c_str(), &about) == 0 && S_ISLNK(about.st_mode);
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
