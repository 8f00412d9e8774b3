// The event loop (libuv) and its timers, signals, TCP streams and listeners. Each handle is closed by its
// destructor.
#ifndef UMBERDYKE_LOOP_LOOP_H_
#define UMBERDYKE_LOOP_LOOP_H_

#include <uv.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::net {

// The steady clock plus the time that a test has skipped with Loop::AdvanceTime.
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
// Microseconds on Clock, which all processes of a machine share, so their logs can be merged by it.
inline std::int64_t MicrosNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

// An object that gets events from the loop. After Close no event reaches it any more, not even one that the
// loop has received already in this turn. Close may be called again.
template <typename T>
concept Closable = requires(T& object) {
  object.Close();
};

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  void Run();
  void Stop() { uv_stop(&loop_); }
  // Runs until `done` returns true or `timeout` has passed; returns what `done` returns then. For tests and
  // tools.
  bool RunUntil(const std::function<bool()>& done, Span timeout);
  // For tests: moves Clock and this loop's timers forward by `time` without waiting, in steps of 10 ms, and
  // runs the ready events after each step.
  void AdvanceTime(Span time);
  // Runs the ready events without waiting and without advancing the time.
  void RunReady();
  // Runs `task` before the loop next waits, never inside this call. Drops it if `guard` has expired by then.
  void Post(std::weak_ptr<void> guard, std::function<void()> task) {
    posted_.push_back({std::move(guard), std::move(task)});
  }
  // Runs `task` after the loop has polled for input and output once more, so that other connections get their
  // turn before it. Drops it if `guard` has expired by then.
  void PostAfterPoll(std::weak_ptr<void> guard, std::function<void()> task);
  // Deferred destruction: closes `object` now, and destroys it before the loop next waits, when none of its
  // member functions can be on the stack.
  template <Closable T>
  void DestroyLater(std::unique_ptr<T> object) {
    object->Close();
    to_destroy_.push_back(std::shared_ptr<T>(std::move(object)));
  }

  std::array<char, 16384>& read_buffer() { return read_buffer_; }

 private:
  friend class Timer;
  void RunPosted();
  void OnPolled();

  uv_loop_t loop_;
  bool in_timer_callback_ = false;
  uv_prepare_t prepare_;
  uv_check_t check_;
  uv_idle_t idle_;  // active while a task waits for a poll, which then does not wait
  struct Task {
    std::weak_ptr<void> guard;
    std::function<void()> run;
  };
  std::vector<Task> posted_;
  std::vector<Task> after_poll_;
  std::vector<std::shared_ptr<void>> to_destroy_;
  std::array<char, 16384> read_buffer_;  // for all streams: OnData uses the bytes before the next read
};

// A one-shot timer. Start on a running timer restarts it. A timer that is started by a timer's callback fires
// after the loop has polled for input and output at the earliest, so overdue timers can't hold those up.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Start(Span delay);
  void Stop();
  bool running() const { return uv_is_active(reinterpret_cast<const uv_handle_t*>(&handle_->uv)) != 0; }

 private:
  struct Handle {
    uv_timer_t uv;
    Loop& loop;
    std::function<void()> callback;
  };
  static void Fire(uv_timer_t* timer);
  Handle* handle_;
};

class Signal {
 public:
  // Throws std::runtime_error if the system gives no descriptors for it.
  Signal(Loop& loop, int number, std::function<void()> callback);
  ~Signal();
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  struct Handle {
    uv_signal_t uv;
    std::function<void()> callback;
  };
  Handle* handle_;
};

// Owns a descriptor other than a TCP stream and calls back when it is readable or the peer has closed it.
class FdWatcher {
 public:
  FdWatcher(Loop& loop, int fd, std::function<void()> callback);
  ~FdWatcher() { Close(); }
  FdWatcher(const FdWatcher&) = delete;
  FdWatcher& operator=(const FdWatcher&) = delete;
  // False once it is closed, and from the start if the system cannot watch the descriptor.
  bool open() const { return handle_ != nullptr; }
  int fd() const { return fd_; }  // -1 if it is not open
  // Closes the descriptor. The callback does not run any more, not even for an event that the loop has
  // received already in this turn. May be called from the callback, and again.
  void Close();

 private:
  struct Handle {
    uv_poll_t uv;
    std::function<void()> callback;
  };
  int fd_;
  Handle* handle_;
};

using Address = sockaddr_storage;
// Parses "10.0.0.4:8081" or "[::1]:8081".
std::optional<Address> ParseAddress(std::string_view text);
std::string PrintAddress(const Address& address);
// The resident set size of this process; 0 if the system does not report it.
std::size_t ResidentBytes();

class Listener;

// Callbacks of a stream. Each may close the stream.
class StreamCallbacks {
 public:
  virtual void OnConnected(bool /*ok*/) {}
  virtual void OnData(std::string_view bytes) = 0;
  virtual void OnEnd() = 0;  // the peer closed, or the connection failed
  virtual void OnWritten(bool /*ok*/) {}
  // The most that the next OnData may get, above 0.
  virtual size_t MaxReadBytes() const { return std::numeric_limits<size_t>::max(); }

 protected:
  ~StreamCallbacks() = default;
};

// On a stream that is closed each call does nothing: Connect, Accept and Write fail, and the peer counts as
// closed.
class Stream {
 public:
  Stream(Loop& loop, StreamCallbacks* callbacks);
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Starts to connect; OnConnected reports the result. Returns false, without a callback, if no socket could
  // be opened.
  bool Connect(const Address& to);
  // Returns false if no connection is pending there, or if the process is out of descriptors.
  bool Accept(Listener& listener);
  void Read();
  void Pause();
  // kQueued: the kernel did not take all bytes; OnWritten is called once it has taken the rest.
  enum class WriteResult { kWritten, kQueued, kFailed };
  WriteResult Write(std::string bytes);
  void EndSending();
  size_t unwritten() const;  // bytes given to Write that the kernel has not taken yet
  // For long transfers: limits the unsent bytes in the kernel, so backpressure from a slow reader shows
  // early.
  void LimitUnsentBytes();
  // Inside or after OnEnd: the peer closed with FIN rather than a reset or an error.
  bool closed_cleanly() const { return handle_ != nullptr && handle_->closed_cleanly; }
  // Closes with RST, which the peer can tell from a normal end of stream.
  void Reset();
  // No received bytes are waiting to be read, and the peer has not closed.
  bool ReadWouldBlock() const;
  size_t UnreadBytes() const;  // received bytes that wait to be read
  // The peer has closed or the connection is broken, even if unread bytes precede that.
  bool PeerClosed() const;
  void Close();
  // The peer has not yet acknowledged all bytes that the kernel took.
  bool HasUnackedBytes() const;
  // Closes and discards bytes that have not reached the peer yet.
  void Abort();
  bool open() const { return handle_ != nullptr; }

 private:
  struct Handle {
    uv_tcp_t uv;
    Loop* loop;
    StreamCallbacks* callbacks;
    bool closed_cleanly = false;
  };
  std::optional<int> Descriptor() const;
  Handle* handle_;
};

// A listening socket. Connections stay in the kernel's accept queue until a stream accepts them, so the owner
// can stop accepting, and none is lost when the process is out of descriptors.
class Listener {
 public:
  Listener(Loop& loop, std::function<void()> callback);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  // Returns an error, or an empty string on success. With `reuse_port` (SO_REUSEPORT), other sockets that set
  // it too may listen at the same address.
  std::string Listen(const Address& address, bool reuse_port = false);
  static bool IsAddressInUse(const std::string& error);  // `error` is one of Listen
  // Takes ownership of a socket that already listens. Returns as Listen does.
  std::string Adopt(int fd);
  bool HasPendingConnection() const;
  // Stop and start the callbacks for new connections.
  void Pause();
  void Resume();
  // Returns the next connection's descriptor, or none if the queue is empty or, as out_of_descriptors()
  // tells, the process or system is out of descriptors or memory. Then the callbacks pause for 50 ms.
  std::optional<int> Accept();
  bool out_of_descriptors() const { return out_of_descriptors_; }
  int fd() const { return fd_; }
  Address address() const;
  bool open() const { return open_; }
  void Close();

 private:
  std::string StartListening(int fd);
  void OnReadable();
  struct Handle {
    uv_poll_t uv;
    Listener* listener;
  };
  Loop& loop_;
  const std::function<void()> on_connection_;
  bool open_ = true;
  bool out_of_descriptors_ = false;
  bool accepted_ = false;
  int fd_ = -1;
  Timer retry_timer_;
  Handle* handle_ = nullptr;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_LOOP_LOOP_H_
