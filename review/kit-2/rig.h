// Stand-ins for the second review: a process under test, discovery, endpoints and clients on loopback
// sockets, with blocking calls and threads. Plain POSIX, no libraries of the project.
#ifndef REVIEW_KIT_2_RIG_H_
#define REVIEW_KIT_2_RIG_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

// --- The record ---

inline std::mutex record_mutex;
inline FILE* record = nullptr;
inline void Record(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  vsnprintf(text, sizeof text, format, args);
  va_end(args);
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record == nullptr) return;
  fprintf(record, "%9.3f %s\n", Now(), text);
  fflush(record);
}

// --- Processes ---

inline std::mutex processes_mutex;
inline std::vector<pid_t> processes;

inline void EndProcesses() {
  const std::lock_guard<std::mutex> lock(processes_mutex);
  for (const pid_t pid : processes) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
  }
  for (const pid_t pid : processes) waitpid(pid, nullptr, 0);
  processes.clear();
}

[[noreturn]] inline void Finish(int status, const char* why) {
  Record("RESULT %d: %s", status, why);
  printf("result %d: %s\n", status, why);
  fflush(stdout);
  EndProcesses();
  _exit(status);
}

inline std::string Environment(const char* name, const char* usual) {
  const char* value = getenv(name);
  return value == nullptr || *value == '\0' ? usual : value;
}
inline bool Trouble() { return Environment("TROUBLE", "1") != "0"; }
inline std::string Folder() { return Environment("CASE_TMP", "/tmp"); }

// Opens the record and starts the watchdog. run.sh starts this program in the repository's root.
inline void Begin(double most_seconds) {
  signal(SIGPIPE, SIG_IGN);
  record = fopen(Environment("CASE_RECORD", "record.txt").c_str(), "w");
  Record("trouble: %s", Trouble() ? "yes" : "no");
  std::thread([most_seconds] {
    Sleep(most_seconds);
    Finish(kCouldNotRun, "the case took too long");
  }).detach();
}

struct Process {
  pid_t pid = -1;
  void Signal(int number) const { kill(pid, number); }
  bool Running() const {
    int status = 0;
    return pid > 0 && waitpid(pid, &status, WNOHANG) == 0;
  }
};

// Starts the command `run` of the deploy file as the platform does.
inline Process StartRun(const std::vector<std::pair<std::string, std::string>>& environment,
                        const std::string& log) {
  const std::string command = Environment("RUN", "exec build/umberdyke");
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    if (freopen(log.c_str(), "a", stdout) == nullptr || dup2(fileno(stdout), 2) < 0) _exit(127);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  const std::lock_guard<std::mutex> lock(processes_mutex);
  processes.push_back(pid);
  return {pid};
}

inline void WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << text;
  rename(temporary.c_str(), path.c_str());
}

// --- Sockets ---

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string AddressText(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int Listen(int port, int* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 256) != 0)
    Finish(kCouldNotRun, "no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *bound = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, for a process that binds it itself; below those that the system gives to clients.
inline int FreePort() {
  static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * 37};
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = 20000 + static_cast<int>((next += 7) % 11000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = Loopback(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free) return port;
  }
  Finish(kCouldNotRun, "no free port");
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    at += static_cast<size_t>(sent);
  }
  return true;
}

inline void Reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

enum class Got { kBytes, kEnd, kReset, kNothing };

// Appends what comes until `until` (of Now()).
inline Got Receive(int fd, double until, std::string* into) {
  for (;;) {
    const double left = until - Now();
    if (left <= 0) return Got::kNothing;
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) continue;
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count > 0) into->append(bytes, static_cast<size_t>(count));
    if (count > 0) return Got::kBytes;
    if (count < 0 && errno == EINTR) continue;
    return count == 0 ? Got::kEnd : Got::kReset;
  }
}

// --- HTTP ---

struct Head {
  std::string start;  // the request line or the status line
  std::map<std::string, std::string> headers;
  std::string Find(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
};

inline Head ParseHead(const std::string& text) {
  Head head;
  size_t at = text.find("\r\n");
  head.start = text.substr(0, at);
  while (at != std::string::npos && at + 2 < text.size()) {
    const size_t end = text.find("\r\n", at + 2);
    const std::string line = text.substr(at + 2, end == std::string::npos ? end : end - at - 2);
    if (const size_t colon = line.find(':'); colon != std::string::npos) {
      const size_t value = line.find_first_not_of(" \t", colon + 1);
      head.headers[line.substr(0, colon)] = value == std::string::npos ? "" : line.substr(value);
    }
    at = end;
  }
  return head;
}

// Decodes a chunked body. Returns 1 whole, 0 not yet, -1 broken; *used is where the body ends.
inline int Dechunk(const std::string& bytes, size_t from, std::string* body, size_t* used) {
  body->clear();
  for (size_t at = from;;) {
    const size_t line = bytes.find("\r\n", at);
    if (line == std::string::npos) return 0;
    char* end = nullptr;
    const unsigned long size = strtoul(bytes.c_str() + at, &end, 16);
    if (end == bytes.c_str() + at) return -1;
    if (bytes.size() < line + 2 + size + 2) {
      body->append(bytes, line + 2, size);
      return 0;
    }
    if (size == 0) {
      *used = line + 4;
      return 1;
    }
    body->append(bytes, line + 2, size);
    at = line + 2 + size + 2;
  }
}

struct Answer {
  bool whole = false;
  int status = 0;      // 0: no head came
  std::string ending;  // "whole", "closed", "reset" or "still open"
  std::string body;
  bool keep = false;
  double at = 0;        // when it was whole, or its connection ended, or waiting ended
  double first_at = 0;  // when its first byte came
};

// Reads one answer; bytes behind it stay in *rest.
inline Answer ReadAnswer(int fd, double until, std::string* rest) {
  Answer answer;
  for (;;) {
    const size_t end = rest->find("\r\n\r\n");
    if (end != std::string::npos) {
      const Head head = ParseHead(rest->substr(0, end + 2));
      answer.status = atoi(head.start.c_str() + std::min<size_t>(9, head.start.size()));
      answer.keep = strcasecmp(head.Find("Connection").c_str(), "close") != 0;
      size_t used = 0;
      if (head.Find("Transfer-Encoding") == "chunked") {
        answer.whole = Dechunk(*rest, end + 4, &answer.body, &used) == 1;
      } else if (const std::string length = head.Find("Content-Length"); !length.empty()) {
        used = end + 4 + strtoul(length.c_str(), nullptr, 10);
        answer.whole = rest->size() >= used;
        answer.body = rest->substr(end + 4, used - end - 4);
      }
      if (answer.whole) {
        answer.ending = "whole";
        answer.at = Now();
        rest->erase(0, used);
        return answer;
      }
    }
    const Got got = Receive(fd, until, rest);
    if (got == Got::kBytes) {
      if (answer.first_at == 0) answer.first_at = Now();
      continue;
    }
    answer.at = Now();
    answer.ending = got == Got::kEnd ? "closed" : got == Got::kReset ? "reset" : "still open";
    return answer;
  }
}

struct Request {
  Head head;
  std::string id, key, body;
};

// An HTTP server with a thread for each connection.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Request&)>;  // returns whether to read the next request
  explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)) {
    fd_ = Listen(port, &port_);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  // Accepts no further connection.
  void StopAccepting() const { shutdown(fd_, SHUT_RDWR); }

 private:
  void Serve(int fd) const {
    std::string bytes;
    for (;;) {
      Request request;
      for (;;) {
        const size_t end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
          request.head = ParseHead(bytes.substr(0, end + 2));
          size_t used = end + 4;
          bool whole = true;
          if (request.head.Find("Transfer-Encoding") == "chunked") {
            whole = Dechunk(bytes, end + 4, &request.body, &used) == 1;
          } else {
            used += strtoul(request.head.Find("Content-Length").c_str(), nullptr, 10);
            whole = bytes.size() >= used;
            if (whole) request.body = bytes.substr(end + 4, used - end - 4);
          }
          if (whole) {
            bytes.erase(0, used);
            break;
          }
        }
        const Got got = Receive(fd, Now() + 600, &bytes);
        if (got != Got::kBytes) {
          close(fd);
          return;
        }
      }
      request.id = request.head.Find("X-Request-ID");
      request.key = request.head.Find("Idempotency-Key");
      if (!handler_(fd, request)) return;  // the handler has closed it
    }
  }

  const Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string Chunk(const std::string& body) {
  char size[32];
  snprintf(size, sizeof size, "%zx\r\n", body.size());
  return size + body + "\r\n";
}

// --- Discovery ---

struct Listed {
  std::string id;
  int port = 0;
  std::string zone;
  std::string state = "ready";
};

inline std::string ListText(int version, bool full, const std::vector<Listed>& servers) {
  std::string out = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
                    ",\"servers\":[";
  for (size_t i = 0; i < servers.size(); ++i) {
    const Listed& s = servers[i];
    out += (i > 0 ? "," : "") + std::string("{\"id\":\"") + s.id + "\",\"addr\":\"" + AddressText(s.port) +
           "\",\"zone\":\"" + s.zone + "\",\"kind\":\"ledger-std\",\"cell\":" +
           std::to_string(std::hash<std::string>()(s.zone) % 1000) + ",\"state\":\"" + s.state +
           "\",\"weight\":1.0,\"started_ms\":0}";
  }
  return out + "]}";
}

// Answers each call with the whole list, and keeps watches open with an empty line every 2 s.
class Discovery {
 public:
  Discovery(int version, std::vector<Listed> servers)
      : version_(version), servers_(std::move(servers)), server_([this](int fd, const Request& request) {
          return Answer(fd, request);
        }) {}
  int port() const { return server_.port(); }
  int calls() const { return calls_; }
  // As an address that is given up: accepts nothing more, and ends open watches.
  void Close() {
    server_.StopAccepting();
    closed_ = true;
  }

 private:
  bool Answer(int fd, const Request& request) {
    Record("discovery at %d: %s", port(), request.head.start.c_str());
    const std::string list = ListText(version_, true, servers_);
    if (request.head.start.find("stream=1") == std::string::npos) return SendAll(fd, Ok(list));
    bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list + "\n"));
    ++calls_;
    for (double next = Now() + 2; open && !closed_;) {
      Sleep(0.05);
      if (Now() < next) continue;
      open = SendAll(fd, Chunk("\n"));
      next += 2;
    }
    close(fd);
    return false;
  }

  const int version_;
  const std::vector<Listed> servers_;
  std::atomic<int> calls_{0};
  std::atomic<bool> closed_{false};
  Server server_;
};

// --- The configuration of a small deployment, as the platform writes it ---

struct Settings {
  std::vector<std::string> zones = {"ahmedabad", "vadodara"};
  std::string version = "1";
  int memory_mb = 192;
  int sockets = 1024;
  std::vector<Listed> known;
  bool console = false;
  int aim_ms = 1500, deadline_ms = 4000;  // of both classes
};

// New with each start, as the platform's.
inline std::string Seed() {
  char text[32];
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(now) * 2654435761ULL);
  return text;
}

inline std::string Config(const Settings& s, int listen, int discovery, int console = 0) {
  std::string zones;
  for (const std::string& zone : s.zones) zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
  const std::string times = ",\"target_us\":" + std::to_string(s.aim_ms) +
                            "000,\"hard_limit_us\":" + std::to_string(s.deadline_ms) +
                            "000,\"late_share\":0.0,\"stream\":false}";
  return "{\"name\":\"n1\",\"listen\":\"" + AddressText(listen) + "\",\"discovery\":\"" +
         AddressText(discovery) + "\"," +
         (console > 0 ? "\"console\":\"" + AddressText(console) + "\"," : std::string()) +
         "\"seed\":\"" + Seed() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(s.memory_mb) + ",\"sockets\":" + std::to_string(s.sockets) +
         "},\"known\":" + ListText(1, true, s.known) +
         ",\"settings\":{\"tier\":0,\"tiers\":[\"front\",\"ledger\"],\"family\":\"chain\",\"balancers\":4,\"me\":0,"
         "\"az\":0,\"dcs\":[" + zones +
         "],\"kinds\":[\"ledger-std\"],\"discovery\":\"ask\",\"period_us\":5000,\"over_share_worth\":0.2,"
         "\"accounts\":[{\"name\":\"kesar-wash\",\"fraction\":0.66,\"allowance_per_s\":114.0},"
         "{\"name\":\"narmada-linen\",\"fraction\":0.34,\"allowance_per_s\":59.0}],"
         "\"ceilings\":{\"cancel\":true,\"parallel_tries\":false,\"most_tries\":5,\"retry_after\":true,"
         "\"max_retry_after_us\":2000000,\"connect_timeout_us\":150000,\"conn_idle_us\":10000000,"
         "\"probes\":true,\"peers\":false,\"streams_per_conn\":1,\"max_open\":20000},"
         "\"prices\":{\"probe\":0.01},\"report\":{\"how\":\"piggyback\",\"columns\":[\"queue\",\"inflight\"]},"
         "\"rules\":{\"answer_slack_us\":20000,\"ask_every_us\":10000000,\"start_capacity\":0.13,"
         "\"cold_us\":22000000,\"stop_sending_within_us\":300000,\"fall_multiple\":4.0,\"fall_us\":1000000},"
         "\"request_classes\":[{\"name\":\"lot-status\",\"semantics\":\"pure\",\"group\":\"all\","
         "\"window_us\":5000000,\"points\":2.0" + times +
         ",{\"name\":\"handover\",\"semantics\":\"token\",\"group\":\"zone\",\"window_us\":6000000,"
         "\"points\":6.0" + times + "]}}";
}

// --- Clients ---

inline std::string StatusRequest(const std::string& id, int timeout_ms) {
  return "GET /api?lot=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: lot-status\r\nX-Tenant-Id: kesar-wash\r\nX-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\n\r\n";
}

inline std::string HandoverRequest(const std::string& id, const std::string& key, int timeout_ms,
                                   const std::string& body = "lot=7") {
  return "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: handover\r\nX-Tenant-Id: kesar-wash\r\nX-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One call on a connection of its own.
inline Answer Call(int port, const std::string& request, double wait) {
  const int fd = Connect(port);
  Answer answer;
  answer.ending = "not connected";
  answer.at = Now();
  if (fd < 0) return answer;
  std::string rest;
  if (SendAll(fd, request)) answer = ReadAnswer(fd, Now() + wait, &rest);
  close(fd);
  return answer;
}

inline void AwaitReady(int port, const Process& process) {
  for (const double until = Now() + 10; Now() < until; Sleep(0.02)) {
    if (!process.Running()) Finish(kCouldNotRun, "the sidecar did not start");
    const Answer answer = Call(port, "GET /-/ready HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n", 1);
    if (answer.status == 200) return Record("the sidecar is ready");
  }
  Finish(kCouldNotRun, "the sidecar was not ready in 10 s");
}

}  // namespace rig

#endif  // REVIEW_KIT_2_RIG_H_
