#include <iostream>

#include "simulator_host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  return dispatch_policy::simulator::Run(std::cin, std::cout, std::cerr);
}
