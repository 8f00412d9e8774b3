#include "loop/loop.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <iterator>
#include <new>
#include <stdexcept>
#include <utility>

namespace umberdyke::net {
namespace {

constexpr int kBacklog = 511;
constexpr Span kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr int kMaxAcceptsPerTurn = 64;  // then other events get their turn

template <typename Handle>
void CloseHandle(Handle* handle) {
  uv_close(reinterpret_cast<uv_handle_t*>(&handle->uv),
           [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
}

struct PendingWrite {
  uv_write_t uv;
  std::string bytes;
};

// Tells a real end of stream from a reset. libuv reports UV_EOF also for a reset that arrives behind bytes
// read in the same turn. Another recv tells them apart: it returns 0 after a FIN and an error after a reset.
bool ReadsEndOfStream(const uv_stream_t* stream) {
  uv_os_fd_t fd = -1;
  char byte = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(stream), &fd) != 0) return false;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Rounds up, because callers assume that a timer never fires early.
std::uint64_t CeilMillis(Span span) {
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(span).count();
  return millis > 0 ? static_cast<std::uint64_t>(millis) : 0;
}

// The time since the loop last read its clock.
Span ClockLag(const uv_loop_t* loop) {
  return std::chrono::nanoseconds(uv_hrtime()) - std::chrono::milliseconds(uv_now(loop));
}

}  // namespace

Loop::Loop() {
  if (uv_loop_init(&loop_) != 0) throw std::bad_alloc();
  uv_prepare_init(&loop_, &prepare_);
  prepare_.data = this;
  uv_prepare_start(&prepare_, [](uv_prepare_t* p) {
    static_cast<Loop*>(p->data)->RunPosted();
    uv_update_time(p->loop);  // the time to poll for is counted from it
  });
  uv_check_init(&loop_, &check_);
  check_.data = this;
  uv_check_start(&check_, [](uv_check_t* c) { static_cast<Loop*>(c->data)->OnPolled(); });
  uv_idle_init(&loop_, &idle_);
}

Loop::~Loop() {
  RunPosted();
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&idle_), nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
}

void Loop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

bool Loop::RunUntil(const std::function<bool()>& done, Span timeout) {
  Timer tick(*this, [] {});
  const Time end = Clock::now() + timeout;
  while (!done() && Clock::now() < end) {
    tick.Start(std::chrono::milliseconds(5));
    uv_run(&loop_, UV_RUN_ONCE);
  }
  return done();
}

void Loop::RunReady() {
  // A message between two sockets of this loop takes one turn, and its answer another; posted tasks take
  // none.
  for (int turn = 0; turn < 6; ++turn) uv_run(&loop_, UV_RUN_NOWAIT);
}

void Loop::AdvanceTime(Span time) {
  constexpr Span kStep = std::chrono::milliseconds(10);
  while (time > Span::zero()) {
    const Span step = std::min(time, kStep);
    time -= step;
    Clock::test_offset += step;
    uv_update_time(&loop_);
    const auto advance_timer = [](uv_handle_t* handle, void* step) {
      if (uv_handle_get_type(handle) != UV_TIMER || uv_is_active(handle) == 0) return;
      auto* timer = reinterpret_cast<uv_timer_t*>(handle);
      const std::uint64_t left = uv_timer_get_due_in(timer);
      const auto passed = static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(*static_cast<Span*>(step)).count());
      uv_timer_start(timer, timer->timer_cb, left > passed ? left - passed : 0, 0);
    };
    Span passed = step;
    uv_walk(&loop_, advance_timer, &passed);
    RunReady();
  }
}

void Loop::PostAfterPoll(std::weak_ptr<void> guard, std::function<void()> task) {
  after_poll_.push_back({std::move(guard), std::move(task)});
  uv_idle_start(&idle_, [](uv_idle_t*) {});
}

void Loop::OnPolled() {
  if (after_poll_.empty()) return;
  uv_idle_stop(&idle_);
  std::move(after_poll_.begin(), after_poll_.end(), std::back_inserter(posted_));
  after_poll_.clear();
}

void Loop::RunPosted() {
  while (!posted_.empty()) {
    std::vector<Task> tasks;
    tasks.swap(posted_);
    for (const Task& task : tasks) {
      if (!task.guard.expired()) task.run();
    }
  }
  std::vector<std::shared_ptr<void>> objects;
  objects.swap(to_destroy_);
}

Timer::Timer(Loop& loop, std::function<void()> callback)
    : handle_(new Handle{{}, loop, std::move(callback)}) {
  uv_timer_init(loop.raw(), &handle_->uv);
  handle_->uv.data = handle_;
}

Timer::~Timer() {
  uv_timer_stop(&handle_->uv);
  CloseHandle(handle_);
}

// libuv runs timers until none is due on its clock, and only then polls. So the clock stands still while
// timers run, and a timer that one of them starts is due at least one millisecond later.
void Timer::Start(Span delay) {
  uv_loop_t* loop = handle_->uv.loop;
  if (handle_->loop.in_timer_callback_) {
    const Span from_loop_time = std::max(delay, Span::zero()) + ClockLag(loop);
    uv_timer_start(&handle_->uv, Fire, std::max<std::uint64_t>(CeilMillis(from_loop_time), 1), 0);
  } else {
    uv_update_time(loop);
    uv_timer_start(&handle_->uv, Fire, CeilMillis(delay), 0);
  }
}

void Timer::Fire(uv_timer_t* timer) {
  auto* handle = static_cast<Handle*>(timer->data);
  Loop& loop = handle->loop;  // the callback may destroy the timer
  loop.in_timer_callback_ = true;
  handle->callback();
  loop.in_timer_callback_ = false;
}

void Timer::Stop() { uv_timer_stop(&handle_->uv); }

Signal::Signal(Loop& loop, int number, std::function<void()> callback)
    : handle_(new Handle{{}, std::move(callback)}) {
  int status = uv_signal_init(loop.raw(), &handle_->uv);
  if (status != 0) {
    delete handle_;
    throw std::runtime_error(std::string("cannot watch for signals: ") + uv_strerror(status));
  }
  handle_->uv.data = handle_;
  status = uv_signal_start(
      &handle_->uv, [](uv_signal_t* s, int) { static_cast<Handle*>(s->data)->callback(); }, number);
  if (status == 0) return;
  CloseHandle(handle_);
  throw std::runtime_error(std::string("cannot watch for a signal: ") + uv_strerror(status));
}

Signal::~Signal() {
  uv_signal_stop(&handle_->uv);
  CloseHandle(handle_);
}

FdWatcher::FdWatcher(Loop& loop, int fd, std::function<void()> callback)
    : fd_(fd), handle_(new Handle{{}, std::move(callback)}) {
  if (uv_poll_init(loop.raw(), &handle_->uv, fd) != 0) {  // the loop knows nothing of the handle
    delete std::exchange(handle_, nullptr);
    close(std::exchange(fd_, -1));
    return;
  }
  handle_->uv.data = handle_;
  uv_poll_start(&handle_->uv, UV_READABLE | UV_DISCONNECT,
                [](uv_poll_t* p, int, int) { static_cast<Handle*>(p->data)->callback(); });
}

void FdWatcher::Close() {
  if (handle_ == nullptr) return;
  uv_poll_stop(&handle_->uv);  // also drops an event that waits for delivery
  CloseHandle(std::exchange(handle_, nullptr));
  close(std::exchange(fd_, -1));
}

std::optional<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  int port = -1;
  const char* end = text.data() + text.size();
  const auto [parse_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parse_end != end || port < 0 || port > 65535) return std::nullopt;
  Address address{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    if (uv_ip6_addr(host.c_str(), port, reinterpret_cast<sockaddr_in6*>(&address)) != 0) return std::nullopt;
  } else if (uv_ip4_addr(host.c_str(), port, reinterpret_cast<sockaddr_in*>(&address)) != 0) {
    return std::nullopt;
  }
  return address;
}

std::size_t ResidentBytes() {
  std::size_t bytes = 0;
  return uv_resident_set_memory(&bytes) == 0 ? bytes : 0;
}

std::string PrintAddress(const Address& address) {
  char name[64] = "";
  if (address.ss_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&address);
    uv_ip6_name(ipv6, name, sizeof name);
    return "[" + std::string(name) + "]:" + std::to_string(ntohs(ipv6->sin6_port));
  }
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&address);
  uv_ip4_name(ipv4, name, sizeof name);
  return std::string(name) + ":" + std::to_string(ntohs(ipv4->sin_port));
}

Stream::Stream(Loop& loop, StreamCallbacks* callbacks) : handle_(new Handle{{}, &loop, callbacks, false}) {
  uv_tcp_init(loop.raw(), &handle_->uv);
  handle_->uv.data = handle_;
}

bool Stream::Connect(const Address& to) {
  if (handle_ == nullptr) return false;
  auto request = std::make_unique<uv_connect_t>();
  const int status = uv_tcp_connect(request.get(), &handle_->uv, reinterpret_cast<const sockaddr*>(&to),
                                    [](uv_connect_t* r, int failed) {
                                      const std::unique_ptr<uv_connect_t> owned(r);
                                      auto* handle = static_cast<Handle*>(r->handle->data);
                                      if (failed == 0) uv_tcp_nodelay(&handle->uv, 1);
                                      if (handle->callbacks != nullptr)
                                        handle->callbacks->OnConnected(failed == 0);
                                    });
  if (status == 0) request.release();
  return status == 0;
}

bool Stream::Accept(Listener& listener) {
  if (handle_ == nullptr) return false;
  const std::optional<int> fd = listener.Accept();
  if (!fd) return false;
  if (uv_tcp_open(&handle_->uv, *fd) != 0) {
    close(*fd);
    return false;
  }
  uv_tcp_nodelay(&handle_->uv, 1);
  return true;
}

void Stream::Read() {
  if (handle_ == nullptr) return;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle_->uv),
      [](uv_handle_t* h, size_t, uv_buf_t* buffer) {
        const auto* handle = static_cast<Handle*>(h->data);
        auto& space = handle->loop->read_buffer();
        const size_t wanted = handle->callbacks == nullptr ? space.size() : handle->callbacks->MaxReadBytes();
        *buffer = uv_buf_init(space.data(), static_cast<unsigned>(std::min(wanted, space.size())));
      },
      [](uv_stream_t* s, ssize_t count, const uv_buf_t* buffer) {
        StreamCallbacks* callbacks = static_cast<Handle*>(s->data)->callbacks;
        if (callbacks == nullptr || count == 0) return;
        if (count < 0) {
          uv_read_stop(s);
          static_cast<Handle*>(s->data)->closed_cleanly = count == UV_EOF && ReadsEndOfStream(s);
          callbacks->OnEnd();
        } else {
          callbacks->OnData({buffer->base, static_cast<size_t>(count)});
        }
      });
}

void Stream::Pause() {
  if (handle_ != nullptr) uv_read_stop(reinterpret_cast<uv_stream_t*>(&handle_->uv));
}

Stream::WriteResult Stream::Write(std::string bytes) {
  if (handle_ == nullptr) return WriteResult::kFailed;
  auto* stream = reinterpret_cast<uv_stream_t*>(&handle_->uv);
  uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  const int written = uv_try_write(stream, &buffer, 1);
  if (written == static_cast<int>(bytes.size())) return WriteResult::kWritten;
  if (written < 0 && written != UV_EAGAIN) return WriteResult::kFailed;
  auto write = std::make_unique<PendingWrite>();
  write->bytes = written > 0 ? bytes.substr(static_cast<size_t>(written)) : std::move(bytes);
  write->uv.data = write.get();
  buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
  const int status = uv_write(&write->uv, stream, &buffer, 1, [](uv_write_t* w, int failed) {
    const std::unique_ptr<PendingWrite> owned(static_cast<PendingWrite*>(w->data));
    auto* handle = static_cast<Handle*>(w->handle->data);
    if (handle->callbacks != nullptr) handle->callbacks->OnWritten(failed == 0);
  });
  if (status != 0) return WriteResult::kFailed;
  write.release();
  return WriteResult::kQueued;
}

std::optional<int> Stream::Descriptor() const {
  uv_os_fd_t fd = -1;
  if (handle_ == nullptr) return std::nullopt;
  const bool has_one = uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) == 0;
  return has_one ? std::optional<int>(fd) : std::nullopt;
}

bool Stream::ReadWouldBlock() const {
  const std::optional<int> fd = Descriptor();
  char byte = 0;
  if (!fd) return false;
  return recv(*fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

size_t Stream::UnreadBytes() const {
  const std::optional<int> fd = Descriptor();
  int bytes = 0;
  return fd && ioctl(*fd, SIOCINQ, &bytes) == 0 && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

bool Stream::PeerClosed() const {
  const std::optional<int> fd = Descriptor();
  if (!fd) return handle_ == nullptr;
  pollfd poll_fd{*fd, POLLRDHUP, 0};
  return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

size_t Stream::unwritten() const {
  return handle_ == nullptr
             ? 0
             : uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&handle_->uv));
}

void Stream::LimitUnsentBytes() {
  const std::optional<int> fd = Descriptor();
  const int limit = 64 * 1024;
  if (!fd) return;
  setsockopt(*fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit,
             sizeof limit);  // on failure the kernel buffers more
}

void Stream::Reset() {
  if (handle_ == nullptr) return;
  handle_->callbacks = nullptr;
  Handle* const handle = std::exchange(handle_, nullptr);
  const auto delete_handle = [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); };
  if (uv_tcp_close_reset(&handle->uv, delete_handle) != 0) CloseHandle(handle);
}

void Stream::EndSending() {
  if (handle_ == nullptr) return;
  auto request = std::make_unique<uv_shutdown_t>();
  const int status =
      uv_shutdown(request.get(), reinterpret_cast<uv_stream_t*>(&handle_->uv),
                  [](uv_shutdown_t* r, int) { const std::unique_ptr<uv_shutdown_t> owned(r); });
  if (status == 0) request.release();
}

void Stream::Close() {
  if (handle_ == nullptr) return;
  handle_->callbacks = nullptr;
  CloseHandle(handle_);
  handle_ = nullptr;
}

bool Stream::HasUnackedBytes() const {
  const std::optional<int> fd = Descriptor();
  int bytes = 0;
  return fd && ioctl(*fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void Stream::Abort() { HasUnackedBytes() ? Reset() : Close(); }

Listener::Listener(Loop& loop, std::function<void()> callback)
    : loop_(loop), on_connection_(std::move(callback)), retry_timer_(loop, [this] { Resume(); }) {}

std::string Listener::StartListening(int fd) {
  int status = uv_translate_sys_error(listen(fd, kBacklog) == 0 ? 0 : errno);
  auto handle = std::make_unique<Handle>();
  if (status == 0) status = uv_poll_init(loop_.raw(), &handle->uv, fd);
  if (status != 0) {
    close(fd);
    return uv_strerror(status);
  }
  fd_ = fd;
  handle_ = handle.release();
  handle_->uv.data = handle_;
  handle_->listener = this;
  Resume();
  return {};
}

void Listener::Resume() {
  if (handle_ == nullptr) return;
  retry_timer_.Stop();
  uv_poll_start(&handle_->uv, UV_READABLE, [](uv_poll_t* p, int, int) {
    if (auto* listener = static_cast<Handle*>(p->data)->listener; listener != nullptr) listener->OnReadable();
  });
}

void Listener::Pause() {
  retry_timer_.Stop();
  if (handle_ != nullptr) uv_poll_stop(&handle_->uv);
}

// Accepts several connections per turn, so they need not wait for other events in between, up to a limit.
void Listener::OnReadable() {
  const Handle* const handle = handle_;
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    accepted_ = false;
    on_connection_();
    if (handle->listener == nullptr || !accepted_ || !HasPendingConnection()) return;
  }
}

std::optional<int> Listener::Accept() {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  accepted_ = fd >= 0;
  out_of_descriptors_ =
      !accepted_ && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM);
  if (out_of_descriptors_) {
    Pause();
    retry_timer_.Start(kAcceptRetryDelay);
  }
  return accepted_ ? std::optional(fd) : std::nullopt;
}

std::string Listener::Listen(const Address& address, bool reuse_port) {
  const auto system_error = [] { return std::string(uv_strerror(uv_translate_sys_error(errno))); };
  const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return system_error();
  const int on = 1;
  const socklen_t size = address.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
  const bool bound = setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                     (!reuse_port || setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) == 0) &&
                     bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0;
  if (bound) return StartListening(fd);
  std::string error = system_error();
  close(fd);
  return error;
}

bool Listener::IsAddressInUse(const std::string& error) { return error == uv_strerror(UV_EADDRINUSE); }

std::string Listener::Adopt(int fd) { return StartListening(fd); }

bool Listener::HasPendingConnection() const {
  pollfd poll_fd{fd_, POLLIN, 0};
  return fd_ >= 0 && poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLIN) != 0;
}

Address Listener::address() const {
  Address address{};
  socklen_t size = sizeof address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

void Listener::Close() {
  open_ = false;
  if (handle_ == nullptr) return;
  Pause();
  handle_->listener = nullptr;
  CloseHandle(std::exchange(handle_, nullptr));
  close(std::exchange(fd_, -1));
}

}  // namespace umberdyke::net
