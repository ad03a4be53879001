// Starts, signals and monitors the forwarders of a rehearsal: real processes, each with its own
// folder. No process outlives the rehearsal, however that ends.
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
    std::function<std::string(std::size_t)> discovery;  // discovery address for the configuration
    // Endpoint list for the configuration, as JSON.
    std::function<std::string(std::size_t)> known;
    std::function<std::string(std::size_t)> sources;  // path of its operator file, or empty
    std::function<std::string(std::size_t)> roster;   // path of its roster, or empty
    std::function<void(std::size_t, const std::string&)> line;  // called with each line of its log
    std::function<void(std::size_t, const tcp::endpoint&)> ready;
    std::function<void(std::size_t, bool planned)> stopped;
  };

  // `program` is the path of the forwarder. Its output is written to OUT/nN.log and its state to
  // OUT/nN.
  Supervisor(RunContext& context, std::string program, std::string out, const std::string& prefix,
             Hooks hooks);
  ~Supervisor();  // kills all running processes and waits for them

  void Start(std::size_t forwarder);
  // Sends SIGTERM, and SIGKILL 3.7 s later if the process is still running. The stop is planned in
  // both cases.
  void Terminate(std::size_t forwarder, std::function<void()> ended);
  void Kill(std::size_t forwarder, std::function<void()> ended);
  // Sends SIGSTOP or SIGCONT.
  void Pause(std::size_t forwarder, bool pause);
  // While `full`, every write of the process that would extend a file fails with EFBIG.
  void FullDisk(std::size_t forwarder, bool full);
  // Sends SIGHUP.
  void Hangup(std::size_t forwarder);
  // Empties the folder with the state of the process, as on a replaced machine.
  void EmptyFolder(std::size_t forwarder);
  // Writes the configuration again and sends SIGHUP.
  void Reload(std::size_t forwarder);

  [[nodiscard]] bool running(std::size_t forwarder) const { return nodes_[forwarder].pid > 0; }
  // Samples memory and descriptors; to be called a few times per second.
  void Sample();
  [[nodiscard]] double max_memory_mb() const { return max_memory_mb_; }
  [[nodiscard]] std::size_t max_descriptors() const { return max_descriptors_; }
  // Returns the CPU time of all processes that have ended, in seconds.
  [[nodiscard]] double cpu_seconds() const { return cpu_seconds_; }

 private:
  struct Node {
    pid_t pid = 0;
    bool planned = false;
    std::uint64_t incarnation = 0;
    std::function<void()> ended;
    tcp::endpoint address;  // port 0 until the first start has chosen a port
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
