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
#include <new>
#include <utility>

namespace umberdyke::net {
namespace {

constexpr int kBacklog = 511;
constexpr Span kAcceptAgain = std::chrono::milliseconds(50);
constexpr int kMostAtOnce = 64;  // connections that are taken before other work has its turn

template <typename Handle>
void CloseHandle(Handle* handle) {
  uv_close(reinterpret_cast<uv_handle_t*>(&handle->uv),
           [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
}

struct PendingWrite {
  uv_write_t uv;
  std::string bytes;
};

// Guards against a reset that passes for an end: where one arrives behind bytes that are read in the same
// turn, libuv tells an end for it. The socket knows: it gives nothing more after an end, and an error after a
// reset.
bool EndedWell(const uv_stream_t* stream) {
  uv_os_fd_t fd = -1;
  char byte = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(stream), &fd) != 0) return false;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Rounded up: a timer that fires early would be taken for one that fired on time.
std::uint64_t WholeMillis(Span span) {
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(span).count();
  return millis > 0 ? static_cast<std::uint64_t>(millis) : 0;
}

}  // namespace

Loop::Loop() {
  if (uv_loop_init(&loop_) != 0) throw std::bad_alloc();
  uv_prepare_init(&loop_, &prepare_);
  prepare_.data = this;
  uv_prepare_start(&prepare_, [](uv_prepare_t* p) { static_cast<Loop*>(p->data)->RunPosted(); });
}

Loop::~Loop() {
  RunPosted();
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT);
  uv_loop_close(&loop_);
}

void Loop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

bool Loop::RunUntil(const std::function<bool()>& done, Span most) {
  Timer tick(*this, [] {});
  const Time end = Clock::now() + most;
  while (!done() && Clock::now() < end) {
    tick.Start(std::chrono::milliseconds(5));
    uv_run(&loop_, UV_RUN_ONCE);
  }
  return done();
}

void Loop::RunReady() {
  // A message from one party to another and its answer take a turn each; what is posted takes none.
  for (int turn = 0; turn < 6; ++turn) uv_run(&loop_, UV_RUN_NOWAIT);
}

void Loop::AdvanceTime(Span time) {
  constexpr Span kStep = std::chrono::milliseconds(10);
  while (time > Span::zero()) {
    const Span step = std::min(time, kStep);
    time -= step;
    Clock::test_offset += step;
    uv_update_time(&loop_);
    const auto nearer = [](uv_handle_t* handle, void* by) {
      if (uv_handle_get_type(handle) != UV_TIMER || uv_is_active(handle) == 0) return;
      auto* timer = reinterpret_cast<uv_timer_t*>(handle);
      const std::uint64_t left = uv_timer_get_due_in(timer);
      const auto passed = static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(*static_cast<Span*>(by)).count());
      uv_timer_start(timer, timer->timer_cb, left > passed ? left - passed : 0, 0);
    };
    Span by = step;
    uv_walk(&loop_, nearer, &by);
    RunReady();
  }
}

void Loop::RunPosted() {
  while (!posted_.empty()) {
    std::vector<Task> tasks;
    tasks.swap(posted_);
    for (const Task& task : tasks) {
      if (!task.guard.expired()) task.run();
    }
  }
  std::vector<std::shared_ptr<void>> gone;
  gone.swap(buried_);
}

Timer::Timer(Loop& loop, std::function<void()> due) : handle_(new Handle{{}, std::move(due)}) {
  uv_timer_init(loop.raw(), &handle_->uv);
  handle_->uv.data = handle_;
}

Timer::~Timer() {
  uv_timer_stop(&handle_->uv);
  CloseHandle(handle_);
}

void Timer::Start(Span delay) {
  uv_update_time(handle_->uv.loop);
  uv_timer_start(
      &handle_->uv, [](uv_timer_t* t) { static_cast<Handle*>(t->data)->due(); }, WholeMillis(delay), 0);
}

void Timer::Stop() { uv_timer_stop(&handle_->uv); }

Signal::Signal(Loop& loop, int number, std::function<void()> come)
    : handle_(new Handle{{}, std::move(come)}) {
  uv_signal_init(loop.raw(), &handle_->uv);
  handle_->uv.data = handle_;
  uv_signal_start(
      &handle_->uv, [](uv_signal_t* s, int) { static_cast<Handle*>(s->data)->come(); }, number);
}

Signal::~Signal() {
  uv_signal_stop(&handle_->uv);
  CloseHandle(handle_);
}

FdWatcher::FdWatcher(Loop& loop, int fd, std::function<void()> come)
    : fd_(fd), handle_(new Handle{{}, std::move(come)}) {
  uv_poll_init(loop.raw(), &handle_->uv, fd);
  handle_->uv.data = handle_;
  uv_poll_start(&handle_->uv, UV_READABLE | UV_DISCONNECT,
                [](uv_poll_t* p, int, int) { static_cast<Handle*>(p->data)->come(); });
}

FdWatcher::~FdWatcher() {
  uv_poll_stop(&handle_->uv);
  CloseHandle(handle_);
  close(fd_);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  int port = -1;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || at != end || port < 0 || port > 65535) return std::nullopt;
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
    const auto* six = reinterpret_cast<const sockaddr_in6*>(&address);
    uv_ip6_name(six, name, sizeof name);
    return "[" + std::string(name) + "]:" + std::to_string(ntohs(six->sin6_port));
  }
  const auto* four = reinterpret_cast<const sockaddr_in*>(&address);
  uv_ip4_name(four, name, sizeof name);
  return std::string(name) + ":" + std::to_string(ntohs(four->sin_port));
}

Stream::Stream(Loop& loop, StreamCallbacks* user) : handle_(new Handle{{}, &loop, user, false}) {
  uv_tcp_init(loop.raw(), &handle_->uv);
  handle_->uv.data = handle_;
}

bool Stream::Connect(const Address& to) {
  auto request = std::make_unique<uv_connect_t>();
  const int status = uv_tcp_connect(request.get(), &handle_->uv, reinterpret_cast<const sockaddr*>(&to),
                                    [](uv_connect_t* r, int failed) {
                                      const std::unique_ptr<uv_connect_t> owned(r);
                                      auto* handle = static_cast<Handle*>(r->handle->data);
                                      if (failed == 0) uv_tcp_nodelay(&handle->uv, 1);
                                      if (handle->user != nullptr) handle->user->OnConnected(failed == 0);
                                    });
  if (status == 0) request.release();
  return status == 0;
}

bool Stream::Accept(Listener& listener) {
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
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle_->uv),
      [](uv_handle_t* h, size_t, uv_buf_t* buffer) {
        auto& space = static_cast<Handle*>(h->data)->loop->read_buffer();
        *buffer = uv_buf_init(space.data(), static_cast<unsigned>(space.size()));
      },
      [](uv_stream_t* s, ssize_t count, const uv_buf_t* buffer) {
        StreamCallbacks* user = static_cast<Handle*>(s->data)->user;
        if (user == nullptr || count == 0) return;
        if (count < 0) {
          uv_read_stop(s);
          static_cast<Handle*>(s->data)->closed_cleanly = count == UV_EOF && EndedWell(s);
          user->OnEnd();
        } else {
          user->OnData({buffer->base, static_cast<size_t>(count)});
        }
      });
}

void Stream::Pause() {
  if (handle_ != nullptr) uv_read_stop(reinterpret_cast<uv_stream_t*>(&handle_->uv));
}

Stream::WriteResult Stream::Write(std::string bytes) {
  auto* stream = reinterpret_cast<uv_stream_t*>(&handle_->uv);
  uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  const int now = uv_try_write(stream, &buffer, 1);
  if (now == static_cast<int>(bytes.size())) return WriteResult::kWritten;
  if (now < 0 && now != UV_EAGAIN) return WriteResult::kFailed;
  auto write = std::make_unique<PendingWrite>();
  write->bytes = now > 0 ? bytes.substr(static_cast<size_t>(now)) : std::move(bytes);
  write->uv.data = write.get();
  buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
  const int status = uv_write(&write->uv, stream, &buffer, 1, [](uv_write_t* w, int failed) {
    const std::unique_ptr<PendingWrite> owned(static_cast<PendingWrite*>(w->data));
    auto* handle = static_cast<Handle*>(w->handle->data);
    if (handle->user != nullptr) handle->user->OnWritten(failed == 0);
  });
  if (status != 0) return WriteResult::kFailed;
  write.release();
  return WriteResult::kQueued;
}

bool Stream::ReadWouldBlock() const {
  uv_os_fd_t fd = -1;
  char byte = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) != 0) return false;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Stream::PeerClosed() const {
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) != 0) return false;
  pollfd asked{fd, POLLRDHUP, 0};
  return poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

size_t Stream::unwritten() const {
  return handle_ == nullptr
             ? 0
             : uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&handle_->uv));
}

void Stream::LimitUnsentBytes() {
  uv_os_fd_t fd = -1;
  const int most = 64 * 1024;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) == 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &most,
               sizeof most);  // a kernel without it only holds more
  }
}

void Stream::Reset() {
  if (handle_ == nullptr) return;
  handle_->user = nullptr;
  Handle* const handle = std::exchange(handle_, nullptr);
  const auto gone = [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); };
  if (uv_tcp_close_reset(&handle->uv, gone) != 0) CloseHandle(handle);
}

void Stream::EndSending() {
  auto request = std::make_unique<uv_shutdown_t>();
  const int status =
      uv_shutdown(request.get(), reinterpret_cast<uv_stream_t*>(&handle_->uv),
                  [](uv_shutdown_t* r, int) { const std::unique_ptr<uv_shutdown_t> owned(r); });
  if (status == 0) request.release();
}

void Stream::Close() {
  if (handle_ == nullptr) return;
  handle_->user = nullptr;
  CloseHandle(handle_);
  handle_ = nullptr;
}

bool Stream::HasUnackedBytes() const {
  uv_os_fd_t fd = -1;
  int bytes = 0;
  const bool open =
      handle_ != nullptr && uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) == 0;
  return open && ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void Stream::Abort() { HasUnackedBytes() ? Reset() : Close(); }

Listener::Listener(Loop& loop, std::function<void()> come)
    : loop_(loop), come_(std::move(come)), again_(loop, [this] { Resume(); }) {}

std::string Listener::Start(int fd) {
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
  again_.Stop();
  uv_poll_start(&handle_->uv, UV_READABLE, [](uv_poll_t* p, int, int) {
    if (auto* listener = static_cast<Handle*>(p->data)->listener; listener != nullptr) listener->Come();
  });
}

void Listener::Pause() {
  again_.Stop();
  if (handle_ != nullptr) uv_poll_stop(&handle_->uv);
}

// Several at once, as the loop's other work between them would keep them waiting; but not all there may be.
void Listener::Come() {
  const Handle* const handle = handle_;
  for (int i = 0; i < kMostAtOnce; ++i) {
    took_ = false;
    come_();
    if (handle->listener == nullptr || !took_ || !HasPendingConnection()) return;
  }
}

std::optional<int> Listener::Accept() {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  took_ = fd >= 0;
  out_of_descriptors_ = !took_ && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM);
  if (out_of_descriptors_) {
    Pause();
    again_.Start(kAcceptAgain);
  }
  return took_ ? std::optional(fd) : std::nullopt;
}

std::string Listener::Listen(const Address& address, bool beside) {
  const auto failed = [] { return std::string(uv_strerror(uv_translate_sys_error(errno))); };
  const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return failed();
  const int on = 1;
  const socklen_t size = address.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
  const bool bound = setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                     (!beside || setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) == 0) &&
                     bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0;
  if (bound) return Start(fd);
  std::string why = failed();
  close(fd);
  return why;
}

bool Listener::IsAddressInUse(const std::string& error) { return error == uv_strerror(UV_EADDRINUSE); }

std::string Listener::Adopt(int fd) { return Start(fd); }

bool Listener::HasPendingConnection() const {
  pollfd asked{fd_, POLLIN, 0};
  return fd_ >= 0 && poll(&asked, 1, 0) > 0 && (asked.revents & POLLIN) != 0;
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
