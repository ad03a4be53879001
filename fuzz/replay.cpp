// Short deterministic run for the tests: processes each file of a corpus and COPIES mutated copies
// of it, drawn from a fixed seed.
#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "targets.hpp"

namespace {

std::string Changed(const std::string& bytes, const std::string& other, std::mt19937& random) {
  std::string out = bytes;
  for (unsigned n = 0; n <= random() % 4 && !out.empty(); ++n) {
    const std::size_t at = random() % out.size();
    const std::size_t length = 1 + random() % 8;
    switch (random() % 5) {
      case 0:
        out[at] = static_cast<char>(random());
        break;
      case 1:
        out.erase(at, length);
        break;
      case 2:
        out.insert(at, out.substr(random() % out.size(), length));
        break;
      case 3:
        out.resize(at);
        break;
      default:
        if (!other.empty()) out.insert(at, other.substr(random() % other.size(), 4 * length));
    }
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " CORPUS COPIES\n";
    return 2;
  }
  std::vector<std::filesystem::path> paths(std::filesystem::directory_iterator(argv[1]), {});
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  if (corpus.empty()) return 1;
  std::mt19937 random(1);
  const long copies = std::stol(argv[2]);
  for (const std::string& bytes : corpus) {
    brassfront::fuzz::ProcessInput(bytes);
    for (long n = 0; n < copies; ++n) {
      brassfront::fuzz::ProcessInput(Changed(bytes, corpus[random() % corpus.size()], random));
    }
  }
  std::cout << corpus.size() << " files, " << copies << " changed copies of each\n";
}
