// The server side of RESP2: an incremental parser of commands, independent of sockets, and
// formatters of replies.
#ifndef BRASSFRONT_PROTOCOL_RESP_HPP_
#define BRASSFRONT_PROTOCOL_RESP_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront {

// A command: its name and arguments.
struct RespCommand {
  std::vector<std::string> words;
  bool oversize = false;  // it exceeded a size limit, and words were skipped
};

// Parses the commands of one connection, which are fed in chunks of any size.
class RespReader {
 public:
  // Accepts chunks of any size. Complete commands are appended to commands().
  void Feed(std::string_view bytes);
  std::deque<RespCommand>& commands() { return commands_; }
  // True after a framing error: nothing after it can be parsed.
  [[nodiscard]] bool broken() const { return state_ == State::kBroken; }
  // True if no byte of the next command has been received.
  [[nodiscard]] bool between_commands() const { return state_ == State::kArray && line_.empty(); }

 private:
  enum class State { kArray, kBulk, kBody, kBodyEnd, kBroken };

  void ProcessLine();
  void FinishWord();

  State state_ = State::kArray;
  std::string line_;
  std::size_t words_left_ = 0;
  std::size_t bytes_left_ = 0;
  bool skipping_word_ = false;
  std::size_t command_bytes_ = 0;  // of the words of this command that were kept
  RespCommand command_;
  std::deque<RespCommand> commands_;
};

// Format a reply: `+text`, `-CODE text` or a bulk string. Line breaks within the text of the first
// two become spaces.
std::string RespSimple(std::string_view text);
std::string RespError(std::string_view code, std::string_view text);
std::string RespBulk(std::string_view text);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_RESP_HPP_
