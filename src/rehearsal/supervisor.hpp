// Starts, signals and watches the forwarders of a rehearsal: real processes with a folder each.
// None outlives the rehearsal, however that ends.
#ifndef BRASSFRONT_REHEARSAL_SUPERVISOR_HPP_
#define BRASSFRONT_REHEARSAL_SUPERVISOR_HPP_

#include <sys/types.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class Supervisor {
 public:
  struct Hooks {
    std::function<std::string(std::size_t)> discovery;  // the address to configure
    std::function<std::string(std::size_t)> known;      // the list to configure, JSON
    std::function<std::string(std::size_t)> sources;    // its operator file; empty: it has none
    std::function<std::string(std::size_t)> roster;     // likewise, of its fleet
    std::function<void(std::size_t, const std::string&)> line;  // of its log
    std::function<void(std::size_t, const tcp::endpoint&)> ready;
    std::function<void(std::size_t, bool planned)> stopped;
  };

  // `program` is the forwarder; what it writes goes to OUT/nN.log, its state to OUT/nN.
  Supervisor(RunContext& context, std::string program, std::string out, const std::string& prefix,
             Hooks hooks);
  ~Supervisor();  // kills what still runs, and waits for it

  void Start(std::size_t forwarder);
  // SIGTERM, and SIGKILL 3.7 s later if it still runs; planned either way.
  void Terminate(std::size_t forwarder, std::function<void()> ended);
  void Kill(std::size_t forwarder, std::function<void()> ended);
  // SIGSTOP, or SIGCONT.
  void Pause(std::size_t forwarder, bool pause);
  // Whatever would make a file of its grow fails from now on (EFBIG), or works again.
  void FullDisk(std::size_t forwarder, bool full);
  // SIGHUP alone.
  void Hangup(std::size_t forwarder);
  // The folder that outlasts the process is emptied, as that of a machine that is replaced.
  void EmptyFolder(std::size_t forwarder);
  // Writes the configuration anew and sends SIGHUP.
  void Reload(std::size_t forwarder);

  [[nodiscard]] bool running(std::size_t forwarder) const { return nodes_[forwarder].pid > 0; }
  // Looks at memory and descriptors; to be called a few times a second.
  void Sample();
  [[nodiscard]] double max_memory_mb() const { return max_memory_mb_; }
  [[nodiscard]] std::size_t max_descriptors() const { return max_descriptors_; }
  // CPU seconds of all processes that have ended.
  [[nodiscard]] double cpu_seconds() const { return cpu_seconds_; }

 private:
  struct Node {
    pid_t pid = 0;
    bool planned = false;
    std::uint64_t incarnation = 0;
    std::function<void()> ended;
    tcp::endpoint address;  // port 0 until the first start has chosen one
    std::unique_ptr<asio::posix::stream_descriptor> log;
    std::string line;
    std::array<char, 4096> bytes{};
    std::ofstream file;
  };

  void WriteConfig(std::size_t forwarder);
  void ReadLog(std::size_t forwarder, std::uint64_t incarnation);
  void HandleLine(std::size_t forwarder, const std::string& line);
  void Ping(std::size_t forwarder, std::uint64_t incarnation);
  void AwaitChildren();
  void Reap();

  RunContext& context_;
  const std::string program_, out_;
  const Hooks hooks_;
  asio::signal_set children_;
  std::vector<Node> nodes_;
  double max_memory_mb_ = 0;
  std::size_t max_descriptors_ = 0;
  double cpu_seconds_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_SUPERVISOR_HPP_
