#include "agent/spawn.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>

extern char** environ;

namespace umberdyke::agent {
namespace {

// A descriptor of the lock's file, closed with it.
class LockFile {
 public:
  explicit LockFile(const std::string& path, int flags) : fd_(open(path.c_str(), flags | O_CLOEXEC, 0644)) {}
  ~LockFile() {
    if (fd_ >= 0) close(fd_);
  }
  LockFile(const LockFile&) = delete;
  LockFile& operator=(const LockFile&) = delete;
  bool open_well() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Take() const { return flock(fd_, LOCK_EX | LOCK_NB) == 0; }

 private:
  const int fd_;
};

// The platform's variables that set a sidecar up are this agent's business alone.
std::map<std::string, std::string> Environment(const Command& command) {
  std::map<std::string, std::string> all;
  for (char** one = environ; *one != nullptr; ++one) {
    const std::string text = *one;
    const size_t equals = text.find('=');
    if (equals != std::string::npos && !text.starts_with("ROUTER_"))
      all[text.substr(0, equals)] = text.substr(equals + 1);
  }
  for (const auto& [name, value] : command.environment) all[name] = value;
  return all;
}

}  // namespace

struct Children::Child {
  uv_process_t uv;
  Children* owner;
  std::function<void(int)> ended;
};

Children::~Children() {
  for (Child* child : all_) Close(child);
}

void Children::Close(Child* child) {
  uv_close(reinterpret_cast<uv_handle_t*>(&child->uv),
           [](uv_handle_t* handle) { delete static_cast<Child*>(handle->data); });
}

std::string Children::Spawn(const Command& command, std::function<void(int)> ended) {
  std::unique_ptr<LockFile> lock;
  if (!command.lock.empty()) {
    lock = std::make_unique<LockFile>(command.lock, O_RDWR | O_CREAT);
    if (!lock->open_well()) return command.lock + ": " + std::strerror(errno);
    if (!lock->Take()) return command.lock + " is held: a process lives there";
    if (ftruncate(lock->fd(), 0) != 0) return command.lock + ": " + std::strerror(errno);
  }
  std::vector<std::string> words = command.words, pairs;
  for (const auto& [name, value] : Environment(command)) pairs.push_back(name + "=" + value);
  std::vector<char*> argv, env;
  for (std::string& word : words) argv.push_back(word.data());
  for (std::string& pair : pairs) env.push_back(pair.data());
  argv.push_back(nullptr);
  env.push_back(nullptr);
  uv_stdio_container_t stdio[4] = {};
  stdio[0].flags = UV_IGNORE;
  stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
  stdio[1].data.fd = stdio[2].data.fd = STDERR_FILENO;
  stdio[3].flags = UV_INHERIT_FD;
  stdio[3].data.fd = lock ? lock->fd() : -1;
  uv_process_options_t options = {};
  options.file = argv[0];
  options.args = argv.data();
  options.env = env.data();
  options.flags = UV_PROCESS_DETACHED;
  options.stdio = stdio;
  options.stdio_count = lock ? 4 : 3;
  options.exit_cb = [](uv_process_t* process, std::int64_t status, int signal) {
    auto* child = static_cast<Child*>(process->data);
    child->owner->all_.erase(child);
    if (child->ended) child->ended(signal != 0 ? 128 + signal : static_cast<int>(status));
    Close(child);
  };
  auto* child = new Child{{}, this, std::move(ended)};
  child->uv.data = child;
  const int error = uv_spawn(loop_.raw(), &child->uv, &options);
  if (error != 0) {
    Close(child);
    return command.words[0] + ": " + uv_strerror(error);
  }
  all_.insert(child);
  uv_unref(reinterpret_cast<uv_handle_t*>(&child->uv));
  if (lock) {
    const std::string pid = std::to_string(child->uv.pid) + "\n";
    if (pwrite(lock->fd(), pid.data(), pid.size(), 0) < 0)
      return "";  // it lives; only a kill would miss this
  }
  return "";
}

bool Locked(const std::string& lock) {
  const LockFile file(lock, O_RDWR);
  return file.open_well() && !file.Take();
}

bool KillLocked(const std::string& lock) {
  const LockFile file(lock, O_RDWR);
  if (!file.open_well() || file.Take()) return false;
  char text[24] = {};
  if (pread(file.fd(), text, sizeof text - 1, 0) <= 0) return false;
  const long pid = std::strtol(text, nullptr, 10);
  // While the lock is held its process lives, and the number is nobody else's.
  return pid > 1 && kill(static_cast<pid_t>(pid), SIGKILL) == 0;
}

}  // namespace umberdyke::agent
