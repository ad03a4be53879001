// RESP2 as a server reads and writes it: a state machine that is fed bytes and knows no socket.
#ifndef BRASSFRONT_PROTOCOL_RESP_HPP_
#define BRASSFRONT_PROTOCOL_RESP_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront {

struct RespCommand {
  std::vector<std::string> words;
  bool oversize = false;  // it was longer than it may be; bytes were passed over
};

class RespReader {
 public:
  // Takes any cut of the stream. Commands that are complete wait in commands().
  void Feed(std::string_view bytes);
  std::deque<RespCommand>& commands() { return commands_; }
  // The framing is lost: nothing after this can be read.
  [[nodiscard]] bool broken() const { return state_ == State::kBroken; }
  // Nothing of a further command has come.
  [[nodiscard]] bool between_commands() const { return state_ == State::kArray && line_.empty(); }

 private:
  enum class State { kArray, kBulk, kBody, kBodyEnd, kBroken };

  void TakeLine();
  void EndWord();

  State state_ = State::kArray;
  std::string line_;
  std::size_t words_due_ = 0;
  std::size_t bytes_due_ = 0;
  bool passing_over_ = false;
  std::size_t command_bytes_ = 0;  // kept of its words
  RespCommand command_;
  std::deque<RespCommand> commands_;
};

// One line of reply: `+text`, or `-CODE text`, never with a line break inside.
std::string RespSimple(std::string_view text);
std::string RespError(std::string_view code, std::string_view text);
std::string RespBulk(std::string_view text);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_RESP_HPP_
