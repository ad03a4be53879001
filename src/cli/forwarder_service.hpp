// The forwarder that `brassfront serve` runs. Creates and connects the spool, the engine and the
// client server, and, if configured, further sources of endpoints and the fleet.
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

// The forwarder can't serve now, although its files are valid.
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
  // Reads the configuration. Retries until the startup deadline if the file can't be read.
  [[nodiscard]] static Config ReadConfigAtStart(const std::string& path);
  // Reads the configuration again once this process owns the state folder and the address: the file
  // may have been replaced during the wait, when the SIGHUP went to the predecessor. If the file is
  // invalid or can't be read now, logs that and returns `previous` with is_current unset.
  struct ConfigAfterTakeover {
    Config config;
    bool is_current = false;
  };
  [[nodiscard]] static ConfigAfterTakeover ReadConfigAfterTakeover(const std::string& path,
                                                                   Config previous);

  // Reads the other files, recovers the spool and starts to accept clients. `owner` must outlive
  // this object; it owns the state folder, or will own it once the folder is usable. The signals
  // that end the process must already be blocked, because this starts threads. Throws the
  // exceptions of the file readers, and std::runtime_error.
  ForwarderService(const ServeOptions& options, Config config, FolderOwner& owner, Socket listener);
  ForwarderService(const ForwarderService&) = delete;
  ForwarderService& operator=(const ForwarderService&) = delete;

  // Forwards messages until a graceful shutdown is complete. The calling thread becomes the engine
  // thread.
  void Run();
  // May be called from any thread.
  void BeginGracefulShutdown();
  // Reads the configuration and the roster again. An invalid file is logged and changes nothing.
  // kUnreadable: the configuration can't be read now; the caller should retry after a short delay.
  // May be called from any thread.
  enum class ReloadResult { kDone, kInvalid, kUnreadable };
  [[nodiscard]] ReloadResult Reload();

  // The number of open messages in the spool; nullopt while the spool is unavailable. Must be
  // called from the thread that called Run.
  [[nodiscard]] std::optional<std::size_t> open_messages() const;
  [[nodiscard]] const std::string& name() const { return config_.name; }
  // The listening address, IPv4:PORT.
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
  const std::unique_ptr<OperatorCommands> operator_commands_;  // nullptr: no operators' address
  const std::unique_ptr<EndpointSources> sources_;             // nullptr: only the platform
  const std::unique_ptr<fleet::Fleet> fleet_;                  // nullptr: no fleet
  // Created before the engine, because the lists that the engine gets from discovery are newer.
  const MemberList initial_list_;
  // Lists may arrive before the engine's constructor returns. Their receivers wait for this future.
  std::promise<Engine*> engine_promise_;
  const std::shared_future<Engine*> engine_future_;
  Engine engine_;
  std::string address_;
  std::optional<ClientServer> clients_;
  std::atomic<bool> shutting_down_{false};
  // The last member, so that it is destroyed first: it calls the others.
  std::unique_ptr<OperatorServer> operator_server_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_FORWARDER_SERVICE_HPP_
