#include "lab/common/process.h"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace umberdyke::lab {

Process::Process(const std::vector<std::string>& arguments, const std::string& log) {
  std::vector<char*> argv;
  for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives whoever started it, however that one ends
  for (const char* name :
       {"ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONSOLE"})
    unsetenv(name);
  if (std::freopen(log.c_str(), "w", stderr) == nullptr) _exit(126);
  dup2(STDERR_FILENO, STDOUT_FILENO);
  execvp(argv[0], argv.data());
  _exit(127);
}

Process::~Process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Tell(int signal) const {
  if (pid_ > 0) kill(pid_, signal);  // 0 and -1 would reach others
}

double Process::PeakMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; file >> word;) {
    double kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes) return kilobytes * 1024 / 1e6;
  }
  return 0;
}

int Process::Descriptors() const {
  std::error_code error;
  int count = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid_) + "/fd", error), end;
       !error && it != end; it.increment(error)) {
    ++count;
  }
  return count;
}

double Process::ProcessorSeconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
  double nanoseconds = 0;
  return file >> nanoseconds ? nanoseconds / 1e9 : 0;
}

bool Process::LimitDescriptors(int most) const {
  rlimit limit{};
  if (pid_ <= 0 || prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) != 0) return false;
  limit.rlim_cur = static_cast<rlim_t>(most);
  return prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0;
}

std::optional<int> Process::Ended() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return ended_;
  pid_ = -1;
  ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  end_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return ended_;
}

double ResidentMb() {
  std::ifstream file("/proc/self/statm");
  double size = 0, resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string OwnAddress() {
  const pid_t pid = getpid();
  return "127." + std::to_string(77 + pid / 62500 % 100) + "." + std::to_string(pid / 250 % 250) + "." +
         std::to_string(1 + pid % 250);
}

}  // namespace umberdyke::lab
