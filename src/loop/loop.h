// The event loop and what lives on it: timers, signals and TCP streams, each closed by its destructor.
#ifndef UMBERDYKE_LOOP_LOOP_H_
#define UMBERDYKE_LOOP_LOOP_H_

#include <uv.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::net {

// The machine's steady clock, further ahead by what a test has let pass (Loop::AdvanceTime).
struct Clock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::steady_clock::time_point;
  static constexpr bool is_steady = true;
  static time_point now() noexcept { return std::chrono::steady_clock::now() + test_offset; }
  static inline duration test_offset{};
};
using Time = Clock::time_point;
using Span = Clock::duration;
// On the same clock, for logs of several processes of one machine.
inline std::int64_t MicrosNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  void Run();
  void Stop() { uv_stop(&loop_); }
  // Runs until `done` holds or `most` has passed; says whether it holds. For tests and tools.
  bool RunUntil(const std::function<bool()>& done, Span most);
  // For tests, whose clock it is: lets so much time pass for this loop's timers and the process's clock
  // without waiting, in small steps, after each of which all that can be read or written is.
  void AdvanceTime(Span time);
  // Runs what is ready, without waiting and without time passing.
  void RunReady();
  // Runs `task` before the loop next waits, never from inside this call; not at all once `guard` is gone.
  void Post(std::weak_ptr<void> guard, std::function<void()> task) {
    posted_.push_back({std::move(guard), std::move(task)});
  }
  // Destroys an object once none of its functions can be on the stack any more.
  template <typename T>
  void DestroyLater(std::unique_ptr<T> object) {
    buried_.push_back(std::shared_ptr<T>(std::move(object)));
  }

  std::array<char, 16384>& read_buffer() { return read_buffer_; }

 private:
  void RunPosted();

  uv_loop_t loop_;
  uv_prepare_t prepare_;
  struct Task {
    std::weak_ptr<void> guard;
    std::function<void()> run;
  };
  std::vector<Task> posted_;
  std::vector<std::shared_ptr<void>> buried_;
  std::array<char, 16384> read_buffer_;  // one read at a time: streams hand the bytes on before the next
};

// Fires once for each Start.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> due);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Start(Span delay);
  void Stop();
  bool running() const { return uv_is_active(reinterpret_cast<const uv_handle_t*>(&handle_->uv)) != 0; }

 private:
  struct Handle {
    uv_timer_t uv;
    std::function<void()> due;
  };
  Handle* handle_;
};

class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> come);
  ~Signal();
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  struct Handle {
    uv_signal_t uv;
    std::function<void()> come;
  };
  Handle* handle_;
};

// Owns a descriptor and tells when it can be read; for what is no TCP stream.
class FdWatcher {
 public:
  FdWatcher(Loop& loop, int fd, std::function<void()> come);
  ~FdWatcher();
  FdWatcher(const FdWatcher&) = delete;
  FdWatcher& operator=(const FdWatcher&) = delete;
  int fd() const { return fd_; }

 private:
  struct Handle {
    uv_poll_t uv;
    std::function<void()> come;
  };
  const int fd_;
  Handle* handle_;
};

using Address = sockaddr_storage;
// "10.0.0.4:8081" or "[::1]:8081".
std::optional<Address> ParseAddress(std::string_view text);
std::string PrintAddress(const Address& address);
// Of this process's memory, what is in the machine's now; 0 where the system does not say.
std::size_t ResidentBytes();

class Listener;

// What a stream tells the one that uses it. The stream may be closed inside any of these.
class StreamCallbacks {
 public:
  virtual void OnConnected(bool /*ok*/) {}
  virtual void OnData(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;  // the other side closed, or the connection broke
  virtual void OnWritten(bool /*ok*/) {}

 protected:
  ~StreamCallbacks() = default;
};

class Stream {
 public:
  Stream(Loop& loop, StreamCallbacks* user);
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // OnConnected follows, unless this returns false: then no socket could be had.
  bool Connect(const Address& to);
  // False where nobody waits there, or no descriptor could be had.
  bool Accept(Listener& listener);
  void Read();
  void Pause();
  // kQueued: OnWritten follows.
  enum class WriteResult { kWritten, kQueued, kFailed };
  WriteResult Write(std::string bytes);
  void EndSending();
  size_t unwritten() const;  // bytes given to Write that wait here
  // Long transfers: the kernel holds little that it has not sent, so that a slow reader is soon felt.
  void LimitUnsentBytes();
  // The other side has closed as it should; told with OnEnd.
  bool closed_cleanly() const { return handle_ != nullptr && handle_->closed_cleanly; }
  // Closes so that the other side can tell it from an end.
  void Reset();
  // Nothing waits to be read, and the other side has not closed.
  bool ReadWouldBlock() const;
  // The other side has closed or the connection is broken, also where bytes wait to be read before that.
  bool PeerClosed() const;
  void Close();
  // Some of what was written has not reached the other side yet.
  bool HasUnackedBytes() const;
  // Closes, and what was written and has not reached the other side yet never does.
  void Abort();
  bool open() const { return handle_ != nullptr; }

 private:
  struct Handle {
    uv_tcp_t uv;
    Loop* loop;
    StreamCallbacks* user;
    bool closed_cleanly = false;
  };
  Handle* handle_;
};

// A listening socket. Connections wait in the kernel's queue until a stream accepts them: none is taken from
// it that its owner does not want yet, nor any that no descriptor can be had for.
class Listener {
 public:
  Listener(Loop& loop, std::function<void()> come);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  // Returns an empty text, or what went wrong. `beside`: others that say so too may listen at the same
  // address.
  std::string Listen(const Address& address, bool beside = false);
  static bool IsAddressInUse(const std::string& error);  // another holds the address
  // Listens on a socket that does so already; owns it from now on.
  std::string Adopt(int fd);
  bool HasPendingConnection() const;  // somebody is in the kernel's queue
  // Those that come are told of no more, or again.
  void Pause();
  void Resume();
  // The next connection's descriptor, or none: nobody waits, or, as `out_of_descriptors` says, none can be
  // had. It waits then, and is told of again after a while.
  std::optional<int> Accept();
  bool out_of_descriptors() const { return out_of_descriptors_; }
  int fd() const { return fd_; }
  Address address() const;
  bool open() const { return open_; }
  void Close();

 private:
  std::string Start(int fd);
  void Come();
  struct Handle {
    uv_poll_t uv;
    Listener* listener;
  };
  Loop& loop_;
  const std::function<void()> come_;
  bool open_ = true;
  bool out_of_descriptors_ = false;
  bool took_ = false;
  int fd_ = -1;
  Timer again_;
  Handle* handle_ = nullptr;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_LOOP_LOOP_H_
