#include "log/fatal_signal.h"

#include <execinfo.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

extern "C" const char __executable_start;  // set by the linker

namespace umberdyke::log {
namespace {

constexpr size_t kMaxLineBytes = 4096;
constexpr int kMaxFrames = 32;
constexpr size_t kSignalStackBytes = 64 * 1024;  // the program's own stack may have overflowed

struct FatalSignal {
  int number;
  std::string_view name;
};
constexpr std::array<FatalSignal, 5> kFatalSignals = {
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}, {SIGABRT, "SIGABRT"}}};

// A line of text that is put together without allocation. What does not fit is cut off.
class SignalSafeLine {
 public:
  SignalSafeLine& Add(std::string_view text) {
    const size_t added = std::min(text.size(), bytes_.size() - size_);
    std::copy_n(text.begin(), added, bytes_.begin() + size_);
    size_ += added;
    return *this;
  }
  SignalSafeLine& AddNumber(std::uint64_t number, int min_digits = 1) {
    return AddDigits(number, 10, min_digits);
  }
  SignalSafeLine& AddAddress(const void* address) {
    return Add("0x").AddDigits(reinterpret_cast<std::uintptr_t>(address), 16, 1);
  }
  // Errors are ignored: there is no other place to tell of them.
  void WriteTo(int descriptor) const {
    size_t written = 0;
    while (written < size_) {
      const ssize_t count = write(descriptor, bytes_.data() + written, size_ - written);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return;
      written += static_cast<size_t>(count);
    }
  }

 private:
  SignalSafeLine& AddDigits(std::uint64_t number, unsigned base, int min_digits) {
    std::array<char, 20> digits;
    size_t first = digits.size();
    for (int count = 0; count < min_digits || number > 0; ++count, number /= base) {
      digits[--first] = "0123456789abcdef"[number % base];
    }
    return Add({digits.data() + first, digits.size() - first});
  }

  std::array<char, kMaxLineBytes> bytes_;
  size_t size_ = 0;
};

struct Report {
  Format format = Format::kText;
  std::string json_instance;  // quoted and escaped
};
Report* report = nullptr;  // never freed: a signal may come at any time

// The current UTC time as RFC 3339 with milliseconds.
void AddTimestamp(SignalSafeLine& line) {
  using namespace std::chrono;
  const auto now = floor<milliseconds>(system_clock::now());
  const auto day = floor<days>(now);
  const year_month_day date(day);
  const hh_mm_ss time(now - day);
  line.AddNumber(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4).Add("-");
  line.AddNumber(static_cast<unsigned>(date.month()), 2).Add("-");
  line.AddNumber(static_cast<unsigned>(date.day()), 2).Add("T");
  line.AddNumber(static_cast<std::uint64_t>(time.hours().count()), 2).Add(":");
  line.AddNumber(static_cast<std::uint64_t>(time.minutes().count()), 2).Add(":");
  line.AddNumber(static_cast<std::uint64_t>(time.seconds().count()), 2).Add(".");
  line.AddNumber(static_cast<std::uint64_t>(time.subseconds().count()), 3).Add("Z");
}

std::int64_t SteadyMicros() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

std::string_view NameOfSignal(int number) {
  const auto it = std::find_if(kFatalSignals.begin(), kFatalSignals.end(),
                               [number](const FatalSignal& s) { return s.number == number; });
  return it == kFatalSignals.end() ? "signal" : it->name;
}

void AddStack(SignalSafeLine& line, std::string_view quote) {
  std::array<void*, kMaxFrames> frames;
  const int count = backtrace(frames.data(), kMaxFrames);
  for (int i = 0; i < count; ++i) {
    line.Add(i == 0 ? "" : " ").AddAddress(frames[static_cast<size_t>(i)]);
  }
  line.Add(quote);
}

void WriteReport(int number, const void* address) {
  SignalSafeLine line;
  if (report->format == Format::kJson) {
    line.Add("{\"time\":\"");
    AddTimestamp(line);
    line.Add("\",\"level\":\"error\",\"event\":\"fatal-signal\",\"instance\":").Add(report->json_instance);
    line.Add(",\"text\":\"the process ends by ").Add(NameOfSignal(number)).Add("\",\"signal\":\"");
    line.Add(NameOfSignal(number)).Add("\",\"address\":\"").AddAddress(address);
    line.Add("\",\"us\":").AddNumber(static_cast<std::uint64_t>(SteadyMicros()));
    line.Add(",\"base\":\"").AddAddress(&__executable_start).Add("\",\"stack\":\"");
    AddStack(line, "\"}\n");
  } else {
    AddTimestamp(line);
    line.Add(" [error] the process ends by ")
        .Add(NameOfSignal(number))
        .Add(" at address ")
        .AddAddress(address);
    line.Add("; program at ").AddAddress(&__executable_start).Add(", stack ");
    AddStack(line, "\n");
  }
  line.WriteTo(STDERR_FILENO);
}

// The action is reset before this runs. A fault occurs again on return, and raise() covers signals that were
// sent.
void OnFatalSignal(int number, siginfo_t* info, void* /*context*/) {
  WriteReport(number, number == SIGABRT ? nullptr : info->si_addr);
  raise(number);
}

void UseSignalStack() {
  static std::array<char, kSignalStackBytes> bytes;
  stack_t stack{};
  stack.ss_sp = bytes.data();
  stack.ss_size = bytes.size();
  sigaltstack(&stack, nullptr);
}

bool HasHandler(int number) {
  struct sigaction current {};
  return sigaction(number, nullptr, &current) == 0 && current.sa_handler != SIG_DFL;
}

}  // namespace

void ReportFatalSignals(Format format, const std::string& instance) {
  if (report != nullptr) return;
  report = new Report{
      format, nlohmann::json(instance).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  std::array<void*, 1> frame;
  backtrace(frame.data(), 1);  // the first call allocates
  UseSignalStack();
  struct sigaction action {};
  action.sa_sigaction = OnFatalSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const FatalSignal& signal : kFatalSignals) {
    if (!HasHandler(signal.number)) sigaction(signal.number, &action, nullptr);
  }
}

}  // namespace umberdyke::log
