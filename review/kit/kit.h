// Small stand-ins for the review cases: discovery, servers, clients and the platform that starts the sidecar.
//
// They use blocking sockets and threads, loopback addresses, and ports that the system chooses. A case
// includes this file, runs its scenario and returns Finish().
#ifndef REVIEW_KIT_KIT_H_
#define REVIEW_KIT_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline std::chrono::steady_clock::time_point& Start() {
  static auto start = std::chrono::steady_clock::now();
  return start;
}
inline double Now() {  // seconds since the start of the case
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start()).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}
inline std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  if (value != nullptr && *value != 0) return value;
  std::fprintf(stderr, "%s is not set; start the case with its run.sh\n", name);
  std::_Exit(kCouldNotRun);
}

// record.txt: one line for each thing that was sent, answered, run or done.
inline void Record(const char* format, ...) {
  static std::mutex mutex;
  static FILE* file = std::fopen(Environment("REVIEW_RECORD").c_str(), "w");
  char text[2000];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::lock_guard<std::mutex> lock(mutex);
  if (file == nullptr) std::_Exit(kCouldNotRun);
  std::fprintf(file, "%9.3f  %s\n", Now(), text);
  std::fflush(file);
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int ListenAnywhere() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 1024) != 0) {
    Record("cannot listen: %s", std::strerror(errno));
    std::_Exit(kCouldNotRun);
  }
  return fd;
}
inline int FreePort() {
  const int fd = ListenAnywhere();
  const int port = PortOf(fd);
  close(fd);
  return port;
}
inline int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
  }
  if (fd >= 0) close(fd);
  return -1;
}
inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// --- HTTP/1.1, read side ---

struct Message {
  std::string start_line, head, body;
  int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
  std::string Header(const std::string& name) const {
    size_t at = 0;
    while (at < head.size()) {
      size_t end = head.find("\r\n", at);
      if (end == std::string::npos) end = head.size();
      const std::string line = head.substr(at, end - at);
      if (line.size() > name.size() && line[name.size()] == ':' &&
          strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
        const size_t value = line.find_first_not_of(" \t", name.size() + 1);
        return value == std::string::npos ? "" : line.substr(value);
      }
      at = end + 2;
    }
    return "";
  }
};

enum class ReadEnd { kMessage, kClosed, kReset, kTimeout };

// Reads whole messages from a socket, with a length or chunked.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // `until`: on the clock of Now().
  ReadEnd Read(Message* message, double until) {
    while (true) {
      if (Take(message)) return ReadEnd::kMessage;
      const double left = until - Now();
      pollfd waiting{fd_, POLLIN, 0};
      if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) return ReadEnd::kTimeout;
      char bytes[65536];
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n == 0) return ReadEnd::kClosed;
      if (n < 0) return ReadEnd::kReset;
      buffer_.append(bytes, static_cast<size_t>(n));
    }
  }
  size_t held() const { return buffer_.size(); }

 private:
  bool Take(Message* message) {
    const size_t head_end = buffer_.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    Message read;
    const size_t line_end = buffer_.find("\r\n");
    read.start_line = buffer_.substr(0, line_end);
    read.head = line_end == head_end ? "" : buffer_.substr(line_end + 2, head_end - line_end - 2);
    size_t at = head_end + 4;
    if (read.Header("Transfer-Encoding") == "chunked") {
      while (true) {
        const size_t size_end = buffer_.find("\r\n", at);
        if (size_end == std::string::npos) return false;
        const size_t size = std::strtoul(buffer_.c_str() + at, nullptr, 16);
        if (buffer_.size() < size_end + 2 + size + 2) return false;
        read.body += buffer_.substr(size_end + 2, size);
        at = size_end + 2 + size + 2;
        if (size == 0) break;
      }
    } else {
      const size_t size = std::strtoul(read.Header("Content-Length").c_str(), nullptr, 10);
      if (buffer_.size() < at + size) return false;
      read.body = buffer_.substr(at, size);
      at += size;
    }
    buffer_.erase(0, at);
    *message = std::move(read);
    return true;
  }
  const int fd_;
  std::string buffer_;
};

inline const char* Name(ReadEnd end) {
  switch (end) {
    case ReadEnd::kMessage:
      return "answer";
    case ReadEnd::kClosed:
      return "closed";
    case ReadEnd::kReset:
      return "reset";
    case ReadEnd::kTimeout:
      break;
  }
  return "nothing";
}

// --- Servers (endpoints) ---

// Answers one request after the other on each connection. The handler writes the answer and returns whether
// the connection stays open.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;
  Server(std::string id, Handler handler)
      : id_(std::move(id)), handler_(std::move(handler)), listener_(ListenAnywhere()) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  const std::string& id() const { return id_; }
  int port() const { return PortOf(listener_); }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, Now() + 1000) == ReadEnd::kMessage) {
      if (request.start_line.rfind("GET /-/", 0) == 0) {  // a probe
        if (!SendAll(fd,
                     "HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n{\"queue\":0,\"inflight\":0,\"util\":0}"))
          break;
      } else if (!handler_(fd, request)) {
        break;
      }
    }
    close(fd);
  }
  const std::string id_;
  const Handler handler_;
  const int listener_;
};

// --- Discovery ---

// Tells each watch the whole list once, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(const std::vector<std::unique_ptr<Server>>& servers,
                     const std::string& zone = "ahmedabad", const std::string& kind = "front-std")
      : listener_(ListenAnywhere()) {
    for (const auto& server : servers) {
      list_ += (list_.empty() ? "" : ",") + std::string("{\"id\":\"") + server->id() +
               "\",\"addr\":\"127.0.0.1:" + std::to_string(server->port()) + "\",\"zone\":\"" + zone +
               "\",\"kind\":\"" + kind +
               "\",\"cell\":0,\"state\":\"ready\",\"weight\":1.0,"
               "\"started_ms\":0}";
    }
    list_ = "{\"version\":41,\"full\":true,\"servers\":[" + list_ + "]}";
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return PortOf(listener_); }
  const std::string& list() const { return list_; }

 private:
  static std::string Chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    if (reader.Read(&request, Now() + 10) == ReadEnd::kMessage) {
      const bool watch = request.start_line.find("stream=1") != std::string::npos;
      if (watch) {
        bool open =
            SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list_ + "\n"));
        while (open) {
          Sleep(2);
          open = SendAll(fd, Chunk("\n"));
        }
      } else {
        SendAll(fd,
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list_.size()) + "\r\n\r\n" + list_);
      }
    }
    close(fd);
  }
  const int listener_;
  std::string list_;
};

// --- The platform: configuration, start, signals and limits of one sidecar ---

// The settings of two small deployments, in the form of the protocol pages, with the figures of their site
// files.
inline std::string LinenTrackSettings(int tier) {
  return R"({"tier":)" + std::to_string(tier) + R"(,"tiers":["front","ledger"],"balancers":1,"me":0,"az":0,
 "dcs":["ahmedabad","vadodara","surat","rajkot"],"kinds":["front-std","ledger-std"],"discovery":"ask",
 "period_us":5000,"over_share_worth":0.2,"family":"chain","specifics":{"passes_deadline":true},"weights":"silent",
 "accounts":[{"name":"kesar-wash","fraction":0.66,"allowance_per_s":114.0},
             {"name":"narmada-linen","fraction":0.34,"allowance_per_s":59.0}],
 "ceilings":{"cancel":true,"parallel_tries":false,"most_tries":5,"retry_after":true,"max_retry_after_us":2000000,
   "connect_timeout_us":150000,"conn_idle_us":10000000,"probes":true,"peers":false,"streams_per_conn":1,
   "max_open":20000},
 "prices":{"cross_zone":0.01,"waste":0.036,"probe":0.01,"late_fail":0.03},
 "report":{"how":"piggyback","columns":["queue","inflight"]},
 "rules":{"answer_slack_us":20000,"ask_every_us":10000000,"start_capacity":0.13,"cold_us":22000000,
   "stop_sending_within_us":300000,"fall_multiple":4.0,"fall_us":1000000},
 "request_classes":[
  {"name":"lot-status","semantics":"pure","group":"all","window_us":5000000,"target_us":1500000,
   "hard_limit_us":4000000,"points":2.0,"late_share":0.0,"stream":false},
  {"name":"handover","semantics":"token","group":"zone","window_us":6000000,"target_us":1500000,
   "hard_limit_us":4000000,"points":6.0,"late_share":0.0,"stream":false}]})";
}
inline std::string CaisseLibreSettings(int tier) {
  return R"({"tier":)" + std::to_string(tier) +
         R"(,"tiers":["till-gateway","basket","pricing"],"balancers":1,"me":0,
 "az":0,"dcs":["ebene","port-louis","curepipe"],"kinds":["gw-a","gw-b","basket-a","basket-b","price-a","price-b"],
 "discovery":"push","period_us":1000,"over_share_worth":1.0,"family":"chain","specifics":{"passes_deadline":true},
 "weights":"silent","accounts":[],
 "ceilings":{"cancel":true,"parallel_tries":true,"most_tries":4,"retry_after":true,"max_retry_after_us":2000000,
   "connect_timeout_us":250000,"conn_idle_us":10000000,"probes":true,"peers":false,"streams_per_conn":1,
   "max_open":20000},
 "prices":{"cross_zone":0.005,"waste":0.033,"probe":0.002,"late_fail":0.058},
 "report":{"how":"piggyback","columns":["inflight","queue","util"]},
 "rules":{"answer_slack_us":20000,"ask_every_us":10000000,"start_capacity":0.19,"cold_us":23000000,
   "stop_sending_within_us":250000,"fall_multiple":3.0,"fall_us":3000000},
 "request_classes":[
  {"name":"price-check","semantics":"pure","group":"all","window_us":5000000,"target_us":940000,
   "hard_limit_us":2400000,"points":1.0,"late_share":0.0,"stream":false},
  {"name":"pay-basket","semantics":"token","group":"zone","window_us":10000000,"target_us":940000,
   "hard_limit_us":2400000,"points":2.0,"late_share":0.0,"stream":false}]})";
}

class Sidecar {
 public:
  struct Options {
    int memory_mb = 192;
    int sockets = 1024;
    bool console = false;
    std::string settings = LinenTrackSettings(0);
  };
  Sidecar(const Discovery& discovery, const Options& options)
      : options_(options), port_(FreePort()), console_port_(FreePort()) {
    const std::string folder = Environment("REVIEW_FOLDER");
    const std::string path = folder + "/config.json";
    std::ofstream file(path);
    file << "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" << port_
         << "\",\"discovery\":\"127.0.0.1:" << discovery.port() << "\",\"seed\":\"8c1f30d27a5be964\",";
    if (options.console) file << "\"console\":\"127.0.0.1:" << console_port_ << "\",";
    file << "\"limits\":{\"cores\":1.0,\"memory_mb\":" << options.memory_mb
         << ",\"sockets\":" << options.sockets << "},\"known\":" << discovery.list()
         << ",\"settings\":" << options.settings << "}\n";
    file.close();
    const std::string run = Environment("REVIEW_RUN"), root = Environment("REVIEW_ROOT");
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      const int log = open((folder + "/sidecar.log").c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("ROUTER_CONFIG", path.c_str(), 1);
      setenv("ROUTER_NAME", "n1", 1);
      setenv("TMPDIR", folder.c_str(), 1);
      unsetenv("ROUTER_LISTEN");
      unsetenv("ROUTER_DISCOVERY");
      unsetenv("ROUTER_CONSOLE");
      if (chdir(root.c_str()) == 0) execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      std::_Exit(127);
    }
    Record("platform: started the sidecar, pid %d, with: %s", static_cast<int>(pid_), run.c_str());
    const double until = Now() + 30;
    while (Now() < until && Alive() && !Ready()) Sleep(0.05);
    if (!Alive() || !Ready()) {
      Record("platform: the sidecar did not become ready");
      End();
      std::_Exit(kCouldNotRun);
    }
    Record("platform: the sidecar is ready");
  }
  ~Sidecar() { End(); }
  int port() const { return port_; }
  int memory_mb() const { return options_.memory_mb; }
  pid_t pid() const { return pid_; }
  bool Alive() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) return true;
    Record("platform: the sidecar has ended, status %d", status);
    pid_ = 0;
    return false;
  }
  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
    Record("platform: ended the sidecar");
  }
  bool Ready() { return Page(port_, "GET", "/-/ready", 1) == 200; }
  // Calls the second address; returns the status of the answer, 0 if there was none.
  int Console(const std::string& method, const std::string& path) {
    return Page(console_port_, method, path, 1);
  }
  // Resident memory in kB: all of it, and without the pages of files such as the program's own.
  long Resident() const { return FromProc("status", "VmRSS:"); }
  long ResidentAnonymous() const { return FromProc("status", "RssAnon:"); }
  // Bytes that lie unread in the kernel on the sidecar's side of the connection from the client's port.
  long UnreadFrom(int client_port) const {
    std::ifstream table("/proc/net/tcp");
    char local[16], remote[16];
    std::snprintf(local, sizeof local, ":%04X", port_);
    std::snprintf(remote, sizeof remote, ":%04X", client_port);
    std::string line;
    while (std::getline(table, line)) {
      unsigned long sent = 0, unread = 0;
      char from[64], to[64];
      unsigned state = 0;
      if (std::sscanf(line.c_str(), " %*d: %63s %63s %X %lX:%lX", from, to, &state, &sent, &unread) != 5)
        continue;
      if (std::string(from).ends_with(local) && std::string(to).ends_with(remote))
        return static_cast<long>(unread);
    }
    return -1;
  }

 private:
  static int Page(int port, const std::string& method, const std::string& path, double seconds) {
    const int fd = ConnectTo(port);
    if (fd < 0) return 0;
    Message answer;
    Reader reader(fd);
    SendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n");
    const ReadEnd end = reader.Read(&answer, Now() + seconds);
    close(fd);
    return end == ReadEnd::kMessage ? answer.status() : 0;
  }
  long FromProc(const std::string& file, const std::string& name) const {
    std::ifstream text("/proc/" + std::to_string(pid_) + "/" + file);
    std::string word;
    long value = 0;
    while (text >> word) {
      if (word == name && text >> value) return value;
    }
    return 0;
  }
  const Options options_;
  const int port_, console_port_;
  pid_t pid_ = 0;
};

// --- Clients ---

inline std::string NextId() {
  static std::atomic<unsigned> last{0};
  char id[24];
  std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(getpid()), ++last);
  return id;
}
inline std::string LotStatus(const std::string& id, int timeout_ms) {
  return "GET /api?lot=7 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: lot-status\r\nX-Tenant-Id: kesar-wash\r\nX-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\n\r\n";
}
inline std::string Handover(const std::string& id, int timeout_ms, const std::string& body) {
  return "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: handover\r\nX-Tenant-Id: kesar-wash\r\nX-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\nIdempotency-Key: key-" + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Server-Load: {\"queue\":0,\"inflight\":1}\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string AnswerWithoutLength(const std::string& body) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx", body.size());
  return std::string("HTTP/1.1 200 OK\r\nX-Server-Load: {\"queue\":0,\"inflight\":1}\r\n") +
         "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + "\r\n0\r\n\r\n";
}

// Ends the case at once: threads of the stand-ins may still wait in calls.
[[noreturn]] inline void Finish(Sidecar& sidecar, int verdict, const std::string& why) {
  sidecar.End();
  const char* const names[] = {"the rule held", "the rule was broken", "the case could not run"};
  Record("verdict: %s: %s", names[verdict], why.c_str());
  std::printf("%s: %s\n", names[verdict], why.c_str());
  std::fflush(nullptr);
  std::_Exit(verdict);
}

}  // namespace kit

#endif  // REVIEW_KIT_KIT_H_
