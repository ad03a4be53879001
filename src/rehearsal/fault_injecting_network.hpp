// The network between forwarders: a socket for each ordered pair, so that each forwarder is told an
// address of its own for each peer, and the actions of a scenario on what goes through.
#ifndef BRASSFRONT_REHEARSAL_FAULT_INJECTING_NETWORK_HPP_
#define BRASSFRONT_REHEARSAL_FAULT_INJECTING_NETWORK_HPP_

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/malicious_peer.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class FaultInjectingNetwork {
 public:
  // A link stands or is cut from now on.
  using OnLink = std::function<void(std::size_t from, std::size_t to, bool cut)>;

  FaultInjectingNetwork(RunContext& context, const std::string& prefix, OnLink on_link);

  // Writes forwarder f's roster into the folder and returns its path.
  [[nodiscard]] std::string WriteRoster(std::size_t f, const std::string& folder) const;
  // OperatorScript change the roster: files that are written from now on say so.
  void ChangeRoster(const FaultAction& action);
  // An action on links, from now until its end.
  void Play(const FaultAction& action);
  // A scripted member tells lies to all, from now until the action's end.
  void SendFalseReports(const FaultAction& action,
                        const std::function<std::vector<std::string>()>& endpoints);
  void Close();

  [[nodiscard]] std::uint64_t false_frames() const { return false_frames_; }
  [[nodiscard]] std::uint64_t frames() const { return frames_; }
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  struct Link {
    std::size_t from = 0, to = 0;
    std::unique_ptr<asio::ip::udp::socket> socket;
    std::vector<char> buffer;
    std::vector<const FaultAction*> actions;
    std::size_t cuts = 0;  // that hold now
    Time free_at{};        // of a link with a bounded rate
  };

  Link& Of(std::size_t from, std::size_t to) { return *links_[from * count_ + to]; }
  void WriteSharing(std::ostream& out) const;
  void ForEach(const FaultAction& action, const std::function<void(Link&)>& what);
  void Cut(Link& link, bool cut);
  void Flap(const FaultAction& action, bool down);
  void Read(Link& link);
  void Forward(Link& link, std::size_t bytes);
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  RunContext& context_;
  const std::size_t count_;
  const OnLink on_link_;
  std::size_t max_out_total_, max_out_per_zone_;
  std::unique_ptr<MaliciousPeer> malicious_peer_;
  std::unique_ptr<asio::ip::udp::socket>
      malicious_socket_;  // where it takes datagrams, and reads none
  std::uint64_t false_frames_ = 0;
  std::set<std::size_t> left_;  // members that are in the roster no longer
  std::vector<asio::ip::udp::endpoint>
      forwarder_addresses_;                   // where each forwarder takes datagrams
  std::vector<std::unique_ptr<Link>> links_;  // none from one to itself
  std::mt19937_64 random_;
  std::uint64_t frames_ = 0, bytes_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_FAULT_INJECTING_NETWORK_HPP_
