// How client protocols reach the engine: the one way in, whichever protocol stands before it.
#ifndef BRASSFRONT_FORWARDER_INTAKE_HPP_
#define BRASSFRONT_FORWARDER_INTAKE_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "protocol/envelope.hpp"

namespace brassfront {

struct Answer {
  enum class Verdict { kTaken, kDeferred, kBad };
  Verdict verdict = Verdict::kDeferred;
  std::optional<std::chrono::milliseconds> come_back;  // with kDeferred
  std::string fault;                                   // with kBad, for people
  bool unlisted = false;  // with kDeferred: no list names its destination so far
  // With kTaken: what Heard and Lost name. Not the client's id, which is the client's to choose and
  // may be that of another client's message.
  std::uint64_t message = 0;

  // 0: it is not said when to come back.
  static Answer Deferred(std::chrono::nanoseconds come_back) {
    Answer answer;
    if (come_back.count() > 0) {
      answer.come_back = std::chrono::ceil<std::chrono::milliseconds>(come_back);
    }
    return answer;
  }
  static Answer Bad(std::string its_fault) {
    return {.verdict = Verdict::kBad, .come_back = {}, .fault = std::move(its_fault)};
  }
};

class Intake {
 public:
  virtual ~Intake() = default;

  // Blocks until the engine has decided. A taken envelope is kept by the spool and waits for
  // Heard or Lost, one of which must follow.
  virtual Answer HandIn(Envelope envelope) = 0;
  // The client was told that the envelope was taken: deliveries may begin.
  virtual void Heard(std::uint64_t message) = 0;
  // The client went before it could be told: the envelope is withdrawn.
  virtual void Lost(std::uint64_t message) = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_INTAKE_HPP_
