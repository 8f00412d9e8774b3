#include <exception>
#include <iostream>

#include "ctl/command.h"

int main(int argc, char** argv) {
  try {
    const int status = umberdyke::ctl::Run({argv + 1, argv + argc}, {std::cout, std::cerr});
    std::cout.flush();
    if (std::cout) return status;
    std::cerr << "umberdykectl: the output cannot be written\n";
  } catch (const std::exception& error) {
    std::cerr << "umberdykectl: " << error.what() << "\n";
  }
  return umberdyke::ctl::kUnreadable;
}
