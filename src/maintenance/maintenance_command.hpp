// The commands of the maintenance state machine and their bytes in the replicated log.
//
// Values and encoding are stored on disk by every member: neither may change.
#ifndef BRASSFRONT_MAINTENANCE_MAINTENANCE_COMMAND_HPP_
#define BRASSFRONT_MAINTENANCE_MAINTENANCE_COMMAND_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront::maintenance {

// What a maintenance request takes out of service.
enum class Kind : std::uint8_t { kMachine = 1, kEndpoint };

enum class Urgency : std::uint8_t { kLow, kNormal, kHigh };
[[nodiscard]] const char* ToString(Urgency urgency);

// The largest name of a command, in bytes; a longer one is cut when it is encoded and rejected when
// it is decoded.
inline constexpr std::size_t kMaxNameBytes = 128;
// The longest explanation in a command or a stored result, in bytes; a longer one is cut.
inline constexpr std::size_t kMaxTextBytes = 200;

// What a command does, with the fields of Command that it reads.
enum class Verb : std::uint8_t {
  kMember = 1,   // name, text (its zone): the roster lists this member
  kNoMember,     // name: the roster lists it no longer
  kLimits,       // process_incarnation, token: slots in total and in each zone
  kRequest,      // kind, name (or "hall:NAME", "all"), urgency, token: open requests
  kCancel,       // request, token
  kPauseGrants,  // flag, token: pause or resume grants
  kBringBack,    // kind, name (or "all"), token: end maintenance
  kGrant,        // request: gives it a slot
  kDrained,      // request: the machine has drained
  kConfirm,      // request, name, process_incarnation: this member starts no calls to the endpoint
  kReturned,     // request: the machine serves again
  kFail,         // request, text (the reason): a deadline passed
  kDead,         // name, process_incarnation: the leader takes this member for dead
  kAlive,        // name, process_incarnation: the leader hears this member
  kEnded         // name, token: an operator states that its process has ended
};

// One entry of the replicated log. A plain value; unused fields keep their defaults.
struct Command {
  Verb verb{};
  Kind kind = Kind::kMachine;
  std::string name;
  std::string text;  // a zone or a reason
  Urgency urgency = Urgency::kNormal;
  std::uint64_t request = 0;              // id of a maintenance request
  std::uint64_t process_incarnation = 0;  // with kLimits: slots in total
  // Chosen by the caller to find the result, and to make a retry idempotent; 0: no result is
  // stored. With kLimits: slots in each zone.
  std::uint64_t token = 0;
  bool flag = false;

  [[nodiscard]] std::string Encode() const;
  // Nothing if the bytes are no valid command.
  [[nodiscard]] static std::optional<Command> Decode(std::string_view bytes);
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_COMMAND_HPP_
