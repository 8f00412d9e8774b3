#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // as in the program: parties write to what others have closed
  return Catch::Session().run(argc, argv);
}
