// Reads whole files up to a size limit, and replaces files atomically.
//
// This module must not depend on what the files contain. System calls for writing go through FileOps, so
// tests can make each of them fail.
#ifndef UMBERDYKE_FILES_FILES_H_
#define UMBERDYKE_FILES_FILES_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::files {

// The system calls for writing. Each returns a negative number and sets errno on failure.
class FileOps {
 public:
  virtual ~FileOps() = default;
  virtual int OpenNew(const char* path, mode_t mode);  // for writing; fails if the file exists
  virtual int OpenFolder(const char* path);
  virtual ssize_t Write(int fd, const char* bytes, size_t count);
  virtual int Sync(int fd);
  virtual int Close(int fd);
  virtual int Rename(const char* from, const char* to);
  virtual int Remove(const char* path);
};
FileOps& SystemOps();

struct ReadResult {
  std::string text;
  std::string error;     // one line; empty on success
  bool missing = false;  // the file does not exist
};
// Reads a regular file, but no folder, device or pipe, which could be endless. Reads one byte more than
// `max_bytes` if the file is longer than that, so the caller can tell.
ReadResult ReadFile(const std::string& path, size_t max_bytes);

// Writes a temporary file in the same folder, syncs it, renames it over `path` and syncs the folder. If a
// step up to the rename fails, the old file stays as it was and the temporary file is removed. Fails if
// `path` is a symbolic link. Returns an error, or an empty string on success.
std::string WriteFileAtomically(const std::string& path, std::string_view text, FileOps& ops = SystemOps());

bool IsSymlink(const std::string& path);
// Returns the sorted names of the regular files in a folder; sets `error` if it cannot be listed.
std::vector<std::string> ListFiles(const std::string& folder, std::string* error);

}  // namespace umberdyke::files

#endif  // UMBERDYKE_FILES_FILES_H_
