// A forwarder as `brassfront serve` runs it: the spool, the engine and the client server, with
// further sources of endpoints and the fleet if they are asked for, wired to each other.
#ifndef BRASSFRONT_CLI_FORWARDER_SERVICE_HPP_
#define BRASSFRONT_CLI_FORWARDER_SERVICE_HPP_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "cli/optional_features.hpp"
#include "config/config.hpp"
#include "exclusions/endpoint_exclusions.hpp"
#include "forwarder/engine.hpp"
#include "net/client_server.hpp"
#include "operators/operator_commands.hpp"
#include "operators/operator_server.hpp"
#include "snapshot/condition_store.hpp"
#include "spool/spool.hpp"

namespace brassfront {

// The forwarder cannot serve here and now, though its files are good.
class UnavailableError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ServeOptions {
  std::string config_path;
  std::string sources_path;  // empty: the platform is the only source of endpoints
  std::string roster_path;   // empty: no fleet
};

class ForwarderService {
 public:
  // Reads the configuration, and waits out a file that can't be read for a moment.
  [[nodiscard]] static Config ReadConfigAtStart(const std::string& path);

  // Reads the other files, recovers the spool, and takes clients from then on. `owner`, which
  // outlives this, owns the state folder, or will once the folder is well. The signals that end the
  // process must be blocked before, since this starts threads. Throws what the files' readers
  // throw, and std::runtime_error.
  ForwarderService(const ServeOptions& options, Config config, FolderOwner& owner, Socket listener);
  ForwarderService(const ForwarderService&) = delete;
  ForwarderService& operator=(const ForwarderService&) = delete;

  // Forwards messages until a graceful shutdown is over. The thread that calls it becomes the
  // engine's.
  void Run();
  // Any thread.
  void BeginGracefulShutdown();
  // Reads the configuration and the roster again; what is invalid leaves a line in the log and
  // changes nothing. False if the configuration can't be read now: call again a little later. Any
  // thread.
  [[nodiscard]] bool Reload();

  // In the spool, by what is on the disk; none while the spool can't be used. For the thread that
  // has called Run.
  [[nodiscard]] std::optional<std::size_t> open_messages() const;
  [[nodiscard]] const std::string& name() const { return config_.name; }
  // Where it listens, IPv4:PORT.
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  [[nodiscard]] DiscoveryWatcher::OnEndpointList ListInterceptor();
  [[nodiscard]] MemberList InitialList();
  void FilterAndSetEndpoints(MemberList list);
  void SetEndpoints(MemberList list);
  void StartClientServer(Socket listener);
  void StartFleet();
  void StartOperatorServer();

  const std::string config_path_;
  const Config config_;
  BufferPool buffers_;
  Spool spool_;
  ConditionStore conditions_;
  EndpointExclusions exclusions_;
  const std::unique_ptr<OperatorCommands> operator_commands_;  // nullptr: no second address
  const std::unique_ptr<EndpointSources> sources_;             // nullptr: the platform alone
  const std::unique_ptr<fleet::Fleet> fleet_;                  // nullptr: no fleet
  const MemberList initial_list_;  // made before the engine, whose lists from discovery are newer
  // Lists may come before the engine's constructor returns; whoever has one waits for the engine.
  std::promise<Engine*> engine_promise_;
  const std::shared_future<Engine*> engine_made_;
  Engine engine_;
  std::string address_;
  std::optional<ClientServer> clients_;
  std::atomic<bool> shutting_down_{false};
  std::unique_ptr<OperatorServer> operator_server_;  // the last member: it calls the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_FORWARDER_SERVICE_HPP_
