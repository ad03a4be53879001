// Makes a process independent of who started it and of who reads its output.
#ifndef BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_
#define BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_

namespace brassfront {

// Opens those of the descriptors 0 to 2 that are closed on /dev/null. Otherwise a file or a socket
// would get the number, and with it the lines of the log. To be called first in main.
void OpenStandardDescriptors();

// From now on a write to a pipe or socket without a reader, and one beyond a limit on file sizes,
// fails with an errno in place of a signal that ends the process.
void IgnoreWriteSignals();

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_
