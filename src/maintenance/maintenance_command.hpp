// The commands of the maintenance state machine and their encoding in the replicated log.
//
// Every member stores encoded commands on disk, so neither the values nor the encoding may change.
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

// Maximum length of a command's name, in bytes. A longer name is truncated on encoding and rejected
// on decoding.
inline constexpr std::size_t kMaxNameBytes = 128;
// Maximum length of the text in a command or a stored result, in bytes; a longer text is truncated.
inline constexpr std::size_t kMaxTextBytes = 200;

// The action of a command, and the fields of Command that it uses.
enum class Verb : std::uint8_t {
  kMember = 1,   // name, text (its zone): the roster lists this member
  kNoMember,     // name: the roster no longer lists this member
  kLimits,       // process_incarnation, token: number of slots in total and per zone
  kRequest,      // kind, name (or "hall:NAME", "all"), urgency, token: open requests
  kCancel,       // request, token
  kPauseGrants,  // flag, token: pause or resume grants
  kBringBack,    // kind, name (or "all"), token: end maintenance
  kGrant,        // request: grants the request a slot
  kDrained,      // request: the machine has drained
  kConfirm,      // request, name, process_incarnation: this member starts no calls to the endpoint
  kReturned,     // request: the machine serves again
  kFail,         // request, text (the reason): a deadline passed
  kDead,         // name, process_incarnation: the leader considers this member dead
  kAlive,        // name, process_incarnation: the leader receives frames of this member
  kEnded         // name, token: an operator states that the member's process has ended
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
  // Chosen by the caller to look up the result and to make a retry idempotent; with 0, no result is
  // stored. With kLimits: slots per zone.
  std::uint64_t token = 0;
  bool flag = false;

  [[nodiscard]] std::string Encode() const;
  // Returns nullopt if the bytes are not a valid command.
  [[nodiscard]] static std::optional<Command> Decode(std::string_view bytes);
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_COMMAND_HPP_
