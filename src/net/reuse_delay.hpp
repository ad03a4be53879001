// How long a persistent HTTP connection is idle before the next request is written on it.
//
// HTTP/1.1 matches responses to requests by their order alone (RFC 9112, section 9.3). A peer that
// sends a response twice may have sent the second one before it received the next request, and the
// network delivers it up to its jitter after the first. Written too early, the next request would
// be answered by it. Input that arrives while the connection is idle shows the error instead.
#ifndef BRASSFRONT_NET_REUSE_DELAY_HPP_
#define BRASSFRONT_NET_REUSE_DELAY_HPP_

#include <chrono>

namespace brassfront {

// Counted from the end of the last response. Longer than the jitter between two responses that are
// sent one directly after the other, which is a fraction of the network's delay.
inline constexpr std::chrono::milliseconds kReuseDelay{50};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_REUSE_DELAY_HPP_
