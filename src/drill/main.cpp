// umberdyke_drill: runs balancer instances for the bench simulator over stdin and stdout.
#include <iostream>

#include "drill/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  umberdyke::benchlink::Host host;
  return host.Run(std::cin, std::cout, std::cerr);
}
