// Makes a process independent of its inherited descriptors and of the reader of its output.
#ifndef BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_
#define BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_

namespace brassfront {

// Opens /dev/null on each of the descriptors 0 to 2 that is closed. Otherwise a file or socket
// could get such a descriptor, and log lines would be written to it. Must be called first in main.
void OpenStandardDescriptors();

// Ignores SIGPIPE and SIGXFSZ: a write to a pipe or socket without a reader, or beyond a limit on
// file sizes, then fails with an errno instead of ending the process.
void IgnoreWriteSignals();

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_STANDARD_DESCRIPTORS_HPP_
