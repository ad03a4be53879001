// A small file that is written whole or not at all.
#ifndef BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
#define BRASSFRONT_PEERS_ATOMIC_FILE_HPP_

#include <string>

namespace brassfront::peers {

// Writes the bytes beside the file, has them on the disk and renames. False where that fails; the
// old file then stands as it was.
bool WriteAtomically(const std::string& path, const std::string& bytes);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
