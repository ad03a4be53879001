// Atomic replacement of a small file.
#ifndef BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
#define BRASSFRONT_PEERS_ATOMIC_FILE_HPP_

#include <string>

namespace brassfront::peers {

// Writes the bytes to `path`.new, synchronizes that file and renames it to `path`. Only the owner
// may read and write the file. Blocks until the data is on disk. Returns false on failure; the old
// file is then unchanged, unless only the synchronization of the folder after the rename failed.
[[nodiscard]] bool WriteAtomically(const std::string& path, const std::string& bytes);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ATOMIC_FILE_HPP_
