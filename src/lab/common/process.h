// What the lab's runs and the tests have in common where they start programs of this repository: a child
// process that never outlives them, and addresses that nobody else on the machine binds.
//
// Knows nothing of what the program does. Linux only (a child dies with whoever started it).
#ifndef UMBERDYKE_LAB_COMMON_PROCESS_H_
#define UMBERDYKE_LAB_COMMON_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace umberdyke::lab {

// A process of the caller's own, ended by its id, at the latest by the destructor (SIGKILL).
class Process {
 public:
  // `log` takes its standard error and output. A program that cannot be started ends with 126 or 127. The
  // variables by which the platform sets a sidecar up are not handed on.
  Process(const std::vector<std::string>& arguments, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Tell(int signal) const;
  pid_t pid() const { return pid_; }  // -1 once it has ended
  // The most memory that it has held so far in millions of bytes, and its open descriptors; 0 once it has
  // ended.
  double PeakMb() const;
  int Descriptors() const;
  // Processor time that it has used so far, in seconds; 0 once it has ended.
  double ProcessorSeconds() const;
  // From now on it gets no descriptor numbered `most` or higher. Returns false if the system refuses the
  // limit.
  bool LimitDescriptors(int most) const;
  // Its exit status once it has ended; 128 where a signal ended it.
  std::optional<int> Ended();
  // The signal that ended it; 0 while it runs, or if it exited.
  int EndSignal() const { return end_signal_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> ended_;
  int end_signal_ = 0;
};

// What this process holds in memory now, in millions of bytes.
double ResidentMb();

// An address of 127/8 that is this process's own: a port that it finds free there stays free, since others'
// outgoing connections leave from 127.0.0.1.
std::string OwnAddress();

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_COMMON_PROCESS_H_
