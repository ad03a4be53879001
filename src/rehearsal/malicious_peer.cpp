#include "rehearsal/malicious_peer.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace brassfront::rehearsal {
namespace {

constexpr int kVersion = 1;
// Kinds of frames: demand for a lease, conditions of endpoints.
constexpr int kWant = 9, kWords = 11;
constexpr int kDown = 2, kWait = 3, kCold = 4;  // observed conditions of an endpoint
constexpr std::uint32_t kAnHour = 3'600'000;    // milliseconds
constexpr std::size_t kMacBytes = 32;

void Put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i));
}
void PutName(std::string& out, const std::string& name) {
  Put(out, name.size(), 1);
  out += name;
}

}  // namespace

std::string MaliciousPeer::Signed(int kind, const std::string& to, const std::string& body) const {
  std::string head;
  Put(head, kVersion, 1);
  Put(head, static_cast<std::uint64_t>(kind), 1);
  for (const std::string& name : {fleet_, std::string(kName), to}) PutName(head, name);
  Put(head, 4711, 8);        // identity of its folder
  Put(head, 1ULL << 20, 8);  // incarnation
  head += body;
  std::string all;
  Put(all, 4 + head.size() + kMacBytes, 4);
  all += head;
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned length = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(all.data()), all.size(), mac.data(), &length);
  return all + std::string(reinterpret_cast<const char*>(mac.data()), length);
}

std::string MaliciousPeer::ConditionReport(int seen, std::uint32_t rest_ms,
                                           const std::vector<std::string>& endpoints) {
  std::string body;
  Put(body, endpoints.size(), 2);
  for (const std::string& endpoint : endpoints) {
    PutName(body, endpoint);
    Put(body, ++number_, 8);
    Put(body, static_cast<std::uint64_t>(seen), 1);
    Put(body, 0, 4);  // age
    Put(body, rest_ms, 4);
    Put(body, 1000, 4);  // times
  }
  return body;
}

std::string MaliciousPeer::DemandReport(double told) {
  std::string body;
  Put(body, ++number_, 8);
  Put(body, destinations_.size(), 2);
  for (const std::uint64_t destination : destinations_) {
    PutName(body, "d" + std::to_string(destination));
    Put(body, 0, 4);  // demand
    Put(body, 0, 4);  // keep
    Put(body, static_cast<std::uint64_t>(told * 1000), 4);
  }
  return body;
}

std::vector<std::string> MaliciousPeer::FalseFrames(FalseReport lie, const std::string& to,
                                                    const std::vector<std::string>& endpoints) {
  std::vector<std::string> frames;
  const auto includes = [lie](FalseReport one) { return lie == one || lie == FalseReport::kAll; };
  if (includes(FalseReport::kDead)) {
    frames.push_back(Signed(kWords, to, ConditionReport(kDown, 0, endpoints)));
  }
  if (includes(FalseReport::kWaits)) {
    frames.push_back(Signed(kWords, to, ConditionReport(kWait, kAnHour, endpoints)));
  }
  if (includes(FalseReport::kHealthy)) {
    frames.push_back(Signed(kWords, to, ConditionReport(kCold, 0, endpoints)));
  }
  if (includes(FalseReport::kNoLimit)) frames.push_back(Signed(kWant, to, DemandReport(0.01)));
  if (includes(FalseReport::kHugeLimit)) frames.push_back(Signed(kWant, to, DemandReport(1e6)));
  return frames;
}

}  // namespace brassfront::rehearsal
