// Loaded into a sidecar's process by the stand-in for a version that leaks: what the process holds grows by
// itself, up to a bound. Of the program nothing is touched.
#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <cstring>

// Reached from here, so that no checker of memory calls it lost.
void* umberdyke_leak_kept[96];

namespace {

constexpr std::size_t kPiece = std::size_t{512} << 10;
constexpr int kPieces = sizeof umberdyke_leak_kept / sizeof *umberdyke_leak_kept;  // 48 MiB
constexpr useconds_t kPaceUs = 20'000;

void* Grow(void*) {
  for (int i = 0; i < kPieces; ++i) {
    void* piece = std::malloc(kPiece);
    if (piece != nullptr) std::memset(piece, 1, kPiece);
    umberdyke_leak_kept[i] = piece;
    usleep(kPaceUs);
  }
  return nullptr;
}

[[gnu::constructor]] void Begin() {
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);  // signals are the program's own thread's
  pthread_t thread;
  if (pthread_create(&thread, nullptr, Grow, nullptr) == 0) pthread_detach(thread);
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

}  // namespace
