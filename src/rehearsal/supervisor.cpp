#include "rehearsal/supervisor.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "rehearsal/plan.hpp"

namespace brassfront::rehearsal {

using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr Time kUntilKill = milliseconds(3700);  // from SIGTERM to SIGKILL
constexpr Time kPingPause = milliseconds(20);

std::int64_t Ns(Time time) { return time.count(); }

// Returns the `settings` object of the configuration for the scenario.
nlohmann::json SettingsOf(const Scenario& s) {
  using nlohmann::json;
  json realms = json::array(), shapes = json::array(), bundles = json::array(),
       own_limits = json::array();
  for (const Merchant& m : s.merchants) {
    realms.push_back({{"name", m.name}, {"quota-rps", m.share * s.clients.rate}});
  }
  for (const Partner& p : s.partners) {
    if (std::find(shapes.begin(), shapes.end(), json(p.kind)) != shapes.end()) continue;
    shapes.push_back(p.kind);
    bundles.push_back(p.batch);
    own_limits.push_back(false);
  }
  const char* effect = s.message_class.effect == Effect::kPure    ? "pure"
                       : s.message_class.effect == Effect::kKeyed ? "token"
                                                                  : "side_effect";
  Time dedup = s.partners.front().dedup;
  for (const Partner& p : s.partners) dedup = std::min(dedup, p.dedup);
  return {{"classes", json::array({{{"name", s.message_class.name},
                                    {"effect", effect},
                                    {"key-scope", "all"},
                                    {"goal-time", Ns(s.message_class.goal)},
                                    {"hard-limit", Ns(s.message_class.deadline)},
                                    {"dedup-window", Ns(dedup)},
                                    {"late-worth", s.message_class.late_weight_share},
                                    {"worth", 1.0}}})},
          {"realms", realms},
          {"shapes", shapes},
          {"zones", json::array({"a"})},
          {"family-info",
           {{"workers", s.forwarders.slots},
            {"bundle-max", bundles},
            {"own-limits", own_limits},
            {"loses-worth", "line"}}},
          {"limits",
           {{"open-cap", s.forwarders.held},
            {"max-attempts", Auditor::kMaxAttempts},
            {"may-cancel", true},
            {"probes", true},
            {"retry-after", true},
            {"max-retry-after", 2'000'000'000},
            {"conn-idle", 15'000'000'000},
            {"connect-timeout", 1'500'000'000}}},
          {"rules",
           {{"cold", Ns(s.warm_up.warm)},
            {"cold-share", s.warm_up.share},
            {"fall", Ns(s.warm_up.fall)},
            {"fall-multiple", s.warm_up.multiple}}},
          {"group-size", s.forwarders.count},
          {"tick", 5'000'000},
          {"weight-source", "rough"}};
}

// Returns a log line without its time and uptime, or unchanged if it has none.
std::string WithoutTime(const std::string& line) {
  constexpr std::string_view kUptimeEnd = "ms ";
  const std::size_t uptime = line.find("Z +");
  const std::size_t end = line.find(kUptimeEnd, uptime);
  const bool has_time = uptime == std::size_t{23} && end != std::string::npos;
  return has_time ? line.substr(end + kUptimeEnd.size()) : line;
}

}  // namespace

Supervisor::Supervisor(RunContext& context, std::string program, std::string out,
                       const std::string& prefix, Hooks hooks)
    : context_(context),
      program_(std::move(program)),
      out_(std::move(out)),
      hooks_(std::move(hooks)),
      children_(context.io, SIGCHLD),
      nodes_(context.scenario.forwarders.count) {
  for (std::size_t f = 0; f < nodes_.size(); ++f) {
    // Each forwarder has its own address, so that no other process takes its port while it is down.
    nodes_[f].address = {asio::ip::make_address(prefix + std::to_string(100 + f)), 0};
    std::filesystem::create_directories(out_ + "/n" + std::to_string(f));
  }
  AwaitChildren();
}

Supervisor::~Supervisor() {
  for (const Node& node : nodes_) {
    if (node.pid > 0) kill(node.pid, SIGKILL);
  }
  for (const Node& node : nodes_) {
    if (node.pid > 0) waitpid(node.pid, nullptr, 0);
  }
}

void Supervisor::WriteConfig(std::size_t forwarder) {
  const Node& node = nodes_[forwarder];
  const Forwarders& f = context_.scenario.forwarders;
  constexpr std::size_t kMiB = 1 << 20;
  const nlohmann::json config = {
      {"name", "n" + std::to_string(forwarder)},
      {"listen", node.address.address().to_string() + ":" + std::to_string(node.address.port())},
      {"discovery", hooks_.discovery(forwarder)},
      {"seed", WireId(context_.seed, forwarder, node.incarnation)},
      {"limits",
       {{"cores", 1.0},
        {"memory_mb", f.memory / kMiB},
        {"sockets", f.sockets},
        {"disk_mb", std::max<std::size_t>(1, f.disk / kMiB)}}},
      {"known", nlohmann::json::parse(hooks_.known(forwarder))},
      {"settings", SettingsOf(context_.scenario)}};
  const std::string path = out_ + "/n" + std::to_string(forwarder) + ".json";
  std::ofstream(path + ".new") << config.dump(1) << "\n";
  std::filesystem::rename(path + ".new", path);
}

void Supervisor::Start(std::size_t forwarder) {
  Node& node = nodes_[forwarder];
  ++node.incarnation;
  node.planned = false;
  node.ended = nullptr;
  WriteConfig(forwarder);
  const std::string base = out_ + "/n" + std::to_string(forwarder);
  const std::string config = base + ".json";
  const std::string sources = hooks_.sources(forwarder);
  std::vector<const char*> arguments = {program_.c_str(), "serve",   "--config",
                                        config.c_str(),   "--state", base.c_str()};
  if (!sources.empty()) arguments.insert(arguments.end(), {"--sources", sources.c_str()});
  const std::string roster = hooks_.roster(forwarder);
  if (!roster.empty()) arguments.insert(arguments.end(), {"--fleet", roster.c_str()});
  arguments.push_back(nullptr);
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
  const pid_t parent = getpid();
  const rlim_t sockets = context_.scenario.forwarders.sockets;
  context_.io.notify_fork(asio::io_context::fork_prepare);
  const pid_t pid = fork();
  if (pid == 0) {
    // The forwarder is killed when the rehearsal ends, even if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    dup2(ends[1], STDERR_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    // Asio's sockets stay open across exec. Close them, or a listener of the rehearsal would stay
    // open in a forwarder.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    const rlimit limit{sockets, sockets};
    setrlimit(RLIMIT_NOFILE, &limit);
    signal(SIGXFSZ, SIG_IGN);  // a full disk must cause a write error, not a signal
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(program_.c_str(), const_cast<char* const*>(arguments.data()));
    _exit(127);
  }
  context_.io.notify_fork(asio::io_context::fork_parent);
  close(ends[1]);
  if (pid < 0) {
    close(ends[0]);
    throw std::runtime_error("cannot start a process");
  }
  node.pid = pid;
  node.line.clear();
  if (!node.file.is_open()) node.file.open(base + ".log", std::ios::app);
  node.log = std::make_unique<asio::posix::stream_descriptor>(context_.io, ends[0]);
  ReadLog(forwarder, node.incarnation);
}

void Supervisor::ReadLog(std::size_t forwarder, std::uint64_t incarnation) {
  Node& node = nodes_[forwarder];
  node.log->async_read_some(asio::buffer(node.bytes),
                            [this, forwarder, incarnation](error_code error, std::size_t n) {
                              Node& its = nodes_[forwarder];
                              if (error || its.incarnation != incarnation) return;
                              its.file.write(its.bytes.data(), static_cast<std::streamsize>(n));
                              for (std::size_t i = 0; i < n; ++i) {
                                if (its.bytes[i] != '\n') {
                                  its.line += its.bytes[i];
                                  continue;
                                }
                                HandleLine(forwarder, std::exchange(its.line, {}));
                              }
                              ReadLog(forwarder, incarnation);
                            });
}

// `2026-12-02T10:00:00.000Z +12ms serving name=n0 listen=127.1.2.100:4711`, with or without the
// time and uptime.
void Supervisor::HandleLine(std::size_t forwarder, const std::string& timed_line) {
  const std::string line = WithoutTime(timed_line);
  hooks_.line(forwarder, line);
  const std::size_t at = line.find(" listen=");
  if (line.rfind("serving ", 0) != 0 || at == std::string::npos) return;
  const std::size_t colon = line.rfind(':');
  unsigned short port = 0;
  std::from_chars(line.data() + colon + 1, line.data() + line.size(), port);
  Node& node = nodes_[forwarder];
  node.address.port(port);
  Ping(forwarder, node.incarnation);
}

// The forwarder is ready once it has answered PING.
void Supervisor::Ping(std::size_t forwarder, std::uint64_t incarnation) {
  struct Try {
    explicit Try(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::array<char, 64> bytes{};
  };
  auto attempt = std::make_shared<Try>(context_.io);
  const auto again = [this, forwarder, incarnation] {
    if (nodes_[forwarder].incarnation != incarnation || nodes_[forwarder].pid <= 0) return;
    context_.At(context_.Now() + kPingPause,
                [this, forwarder, incarnation] { Ping(forwarder, incarnation); });
  };
  attempt->socket.async_connect(
      nodes_[forwarder].address, [this, attempt, again, forwarder, incarnation](error_code error) {
        if (error) return again();
        asio::async_write(attempt->socket, asio::buffer("*1\r\n$4\r\nPING\r\n", 14),
                          [](error_code, std::size_t) {});
        attempt->socket.async_read_some(
            asio::buffer(attempt->bytes),
            [this, attempt, again, forwarder, incarnation](error_code failed, std::size_t n) {
              const std::string reply(attempt->bytes.data(), failed ? 0 : n);
              // A forwarder that is out for maintenance is still on standby after a restart.
              if (reply.rfind("+PONG", 0) != 0 && reply.rfind("-STANDBY", 0) != 0) {
                return again();
              }
              if (nodes_[forwarder].incarnation != incarnation || nodes_[forwarder].pid <= 0) {
                return;
              }
              hooks_.ready(forwarder, nodes_[forwarder].address);
            });
      });
}

void Supervisor::Terminate(std::size_t forwarder, std::function<void()> ended) {
  Node& node = nodes_[forwarder];
  if (node.pid <= 0) return;
  node.planned = true;
  node.ended = std::move(ended);
  kill(node.pid, SIGTERM);
  const std::uint64_t incarnation = node.incarnation;
  context_.At(context_.Now() + kUntilKill, [this, forwarder, incarnation] {
    if (nodes_[forwarder].incarnation == incarnation && nodes_[forwarder].pid > 0) {
      kill(nodes_[forwarder].pid, SIGKILL);
    }
  });
}

void Supervisor::Kill(std::size_t forwarder, std::function<void()> ended) {
  Node& node = nodes_[forwarder];
  if (node.pid <= 0) return;
  node.planned = true;
  node.ended = std::move(ended);
  kill(node.pid, SIGKILL);
}

void Supervisor::Pause(std::size_t forwarder, bool pause) {
  if (nodes_[forwarder].pid > 0) kill(nodes_[forwarder].pid, pause ? SIGSTOP : SIGCONT);
}

// A limit on the file size simulates a full disk. It needs no privileges and does not affect
// sockets and pipes.
void Supervisor::FullDisk(std::size_t forwarder, bool full) {
  if (nodes_[forwarder].pid <= 0) return;
  const rlimit limit{full ? 0 : RLIM_INFINITY, RLIM_INFINITY};
  prlimit(nodes_[forwarder].pid, RLIMIT_FSIZE, &limit, nullptr);
}

void Supervisor::Hangup(std::size_t forwarder) {
  if (nodes_[forwarder].pid > 0) kill(nodes_[forwarder].pid, SIGHUP);
}

void Supervisor::EmptyFolder(std::size_t forwarder) {
  const std::string folder = out_ + "/n" + std::to_string(forwarder);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
}

void Supervisor::Reload(std::size_t forwarder) {
  WriteConfig(forwarder);
  Hangup(forwarder);
}

void Supervisor::AwaitChildren() {
  children_.async_wait([this](error_code error, int) {
    if (error) return;
    Reap();
    AwaitChildren();
  });
}

void Supervisor::Reap() {
  for (std::size_t f = 0; f < nodes_.size(); ++f) {
    Node& node = nodes_[f];
    rusage usage{};
    if (node.pid <= 0 || wait4(node.pid, nullptr, WNOHANG, &usage) != node.pid) continue;
    const auto seconds = [](const timeval& t) {
      return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    cpu_seconds_ += seconds(usage.ru_utime) + seconds(usage.ru_stime);
    node.pid = 0;
    hooks_.stopped(f, node.planned);
    if (const auto ended = std::exchange(node.ended, nullptr)) ended();
  }
}

void Supervisor::Sample() {
  for (const Node& node : nodes_) {
    if (node.pid <= 0) continue;
    const std::string proc = "/proc/" + std::to_string(node.pid);
    std::ifstream statm(proc + "/statm");
    std::size_t size = 0, resident = 0;
    if (statm >> size >> resident) {
      const double mb =
          static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
      max_memory_mb_ = std::max(max_memory_mb_, mb);
    }
    std::error_code error;
    std::size_t count = 0;
    for (auto it = std::filesystem::directory_iterator(proc + "/fd", error);
         !error && it != std::filesystem::directory_iterator(); it.increment(error)) {
      ++count;
    }
    max_descriptors_ = std::max(max_descriptors_, count);
  }
}

}  // namespace brassfront::rehearsal
