// The simulated network between forwarders. Each ordered pair of members has its own socket, so
// that the roster of each forwarder has a separate address for each peer. The actions of a scenario
// apply to the frames on these links.
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
  // Called when a link is cut or restored.
  using OnLink = std::function<void(std::size_t from, std::size_t to, bool cut)>;

  FaultInjectingNetwork(RunContext& context, const std::string& prefix, OnLink on_link);

  // Writes the roster of forwarder f into the folder and returns its path.
  [[nodiscard]] std::string WriteRoster(std::size_t f, const std::string& folder) const;
  // Changes the roster as operators would; it applies to the files written from now on.
  void ChangeRoster(const FaultAction& action);
  // Starts an action on links, which lasts until its end.
  void Play(const FaultAction& action);
  // Makes the malicious peer send false reports to all members until the end of the action.
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
    std::size_t cuts = 0;  // active cuts; the link carries frames if there are none
    Time free_at{};        // end of the last transmission on a link with a limited rate
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
      malicious_socket_;  // its address in the roster; received datagrams are not read
  std::uint64_t false_frames_ = 0;
  std::set<std::size_t> left_;  // members removed from the roster
  std::vector<asio::ip::udp::endpoint>
      forwarder_addresses_;                   // where each forwarder receives datagrams
  std::vector<std::unique_ptr<Link>> links_;  // null for a member and itself
  std::mt19937_64 random_;
  std::uint64_t frames_ = 0, bytes_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_FAULT_INJECTING_NETWORK_HPP_
