// Files as a whole: bounded reading, and writing that leaves the old file or the new one and nothing between.
//
// This room may not know what the files hold. Every call to the system goes through FileOps, so that tests
// can let each of them fail in turn.
#ifndef UMBERDYKE_FILES_FILES_H_
#define UMBERDYKE_FILES_FILES_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::files {

// What writing asks of the system; each returns below zero with errno set where it fails.
class FileOps {
 public:
  virtual ~FileOps() = default;
  virtual int OpenNew(const char* path, mode_t mode);  // must not exist; for writing
  virtual int OpenFolder(const char* path);
  virtual ssize_t Write(int fd, const char* bytes, size_t count);
  virtual int Sync(int fd);
  virtual int Close(int fd);
  virtual int Rename(const char* from, const char* to);
  virtual int Remove(const char* path);
};
FileOps& SystemOps();

// An empty text, or what went wrong in one line.
struct ReadResult {
  std::string text;
  std::string error;
  bool missing = false;  // there is no such file
};
// A regular file of at most `most` bytes: no folder, device or pipe, which could be without end.
ReadResult ReadFile(const std::string& path, size_t most);

// Writes beside the file, syncs, and renames over it; then syncs the folder. Where anything fails the old
// file stays whole and the new one is removed. A link is not written through. Returns an empty text or the
// error.
std::string WriteFileAtomically(const std::string& path, std::string_view text, FileOps& ops = SystemOps());

bool IsSymlink(const std::string& path);
// The names of regular files in a folder, sorted.
std::vector<std::string> ListFiles(const std::string& folder, std::string* error);

}  // namespace umberdyke::files

#endif  // UMBERDYKE_FILES_FILES_H_
