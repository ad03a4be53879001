// A small file that is replaced as a whole or not at all.
#ifndef BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
#define BRASSFRONT_PEERS_ATOMIC_FILE_HPP_

#include <string>

namespace brassfront::peers {

// Writes the bytes to `path`.new, synchronizes and renames it, for its owner alone to read. Blocks
// until that is on the disk. False where it fails: the old file then stands as it was, but for a
// failure to synchronize the folder after the rename.
[[nodiscard]] bool WriteAtomically(const std::string& path, const std::string& bytes);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
