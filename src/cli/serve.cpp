#include "cli/serve.hpp"

#include <pthread.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>

#include "forwarder/engine.hpp"
#include "net/log.hpp"
#include "net/sender_side.hpp"
#include "spool/spool.hpp"

namespace brassfront {
namespace {

// Client connections at once: their threads and buffers cost some 0.2 MB each at the most, and the
// next hops keep two connections each.
constexpr std::size_t kMostSenders = 256;
constexpr std::size_t kSocketsShare = 4;  // of the descriptors, a part of this for clients

sigset_t EndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

int Serve(const Config& config, const std::string& state) {
  if (!IsAddress(config.listen)) throw ConfigError("bad listen address " + config.listen);
  if (!IsAddress(config.discovery)) throw ConfigError("bad discovery address " + config.discovery);
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);  // in every thread; one of them waits for these

  BufferPool buffers;
  Spool spool(state, config.limits.disk_bytes, [](const std::string& text) { LogLine(text); });
  Engine engine(config, spool, buffers);
  engine.Restore();
  Socket listener = Listen(config.listen);
  if (!listener.is_open()) {
    throw ConfigError("cannot listen on " + config.listen + ": " + std::strerror(errno));
  }
  const std::string address = AddressOf(listener);
  SenderSide senders(std::move(listener),
                     std::min(kMostSenders, config.limits.sockets / kSocketsShare), engine,
                     buffers);
  Thread waiter([&] {
    int signal = 0;
    sigwait(&signals, &signal);
    engine.Leave();
  });
  LogLine("serving name=" + config.name + " listen=" + address);
  engine.Run([&] { senders.Drain(); });
  engine.LetGo();
  waiter.Join();
  return 0;
}

}  // namespace brassfront
