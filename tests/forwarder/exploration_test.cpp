// Random orders of events against the parts that owe each accepted message its final answer, in
// virtual time: no thread, no socket, no sleep. One seed is one order. An order that breaks a rule
// is printed with its seed, made as small as it still breaks the same rule.
//
// The environment chooses other orders than the fixed ones: EXPLORATION_FIRST (a seed) and
// EXPLORATION_COUNT. With a count of 1 one order is played again.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "observe/log.hpp"
#include "order_of_events.hpp"
#include "order_player.hpp"

namespace brassfront::exploration {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kOrders = 15'000;  // each takes some seven times as long
#else
constexpr std::uint64_t kOrders = 100'000;
#endif
constexpr std::uint64_t kMaxShown = 2;  // broken orders of a rule that are made small and printed

// A folder for spools, in memory where the system has one.
class SpoolFolder {
 public:
  SpoolFolder() {
    const bool in_memory = std::filesystem::is_directory("/dev/shm");
    std::string name = std::string(in_memory ? "/dev/shm" : "/tmp") + "/exploration-XXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path_ = name;
    owner_.emplace(path_);
  }
  SpoolFolder(const SpoolFolder&) = delete;
  SpoolFolder& operator=(const SpoolFolder&) = delete;
  ~SpoolFolder() { std::filesystem::remove_all(path_); }

  [[nodiscard]] FolderOwner& owner() { return *owner_; }

 private:
  std::string path_;
  std::optional<FolderOwner> owner_;
};

[[nodiscard]] Verdict Play(const OrderOfEvents& order, FolderOwner& owner,
                           std::string* trace = nullptr) {
  return OrderPlayer(order, owner, trace).Play();
}

[[nodiscard]] bool Breaks(const std::string& rule, const OrderOfEvents& order, FolderOwner& owner) {
  const std::vector<Breach> breaches = Play(order, owner).breaches;
  return std::any_of(breaches.begin(), breaches.end(),
                     [&](const Breach& breach) { return breach.rule == rule; });
}

// Takes away runs of `length` steps for as long as the rule is still broken. True if any went.
[[nodiscard]] bool DropSteps(OrderOfEvents& order, std::size_t length, const std::string& rule,
                             FolderOwner& owner) {
  bool dropped = false;
  for (std::size_t begin = 0; begin < order.steps.size();) {
    OrderOfEvents smaller = order;
    const auto first = smaller.steps.begin() + static_cast<std::ptrdiff_t>(begin);
    const std::size_t count = std::min(length, order.steps.size() - begin);
    smaller.steps.erase(first, first + static_cast<std::ptrdiff_t>(count));
    if (Breaks(rule, smaller, owner)) {
      order = std::move(smaller);
      dropped = true;
    } else {
      begin += length;
    }
  }
  return dropped;
}

// The same for what endpoints answer.
void DropAnswers(OrderOfEvents& order, const std::string& rule, FolderOwner& owner) {
  for (std::size_t i = 0; i < order.steps.size(); ++i) {
    while (true) {
      OrderOfEvents smaller = order;
      auto* submit = std::get_if<Submit>(&smaller.steps[i]);
      if (submit == nullptr || submit->answers.empty()) break;
      submit->answers.pop_back();
      if (!Breaks(rule, smaller, owner)) break;
      order = std::move(smaller);
    }
  }
}

// The smallest part of the order found that breaks the rule as well.
[[nodiscard]] OrderOfEvents Shrink(OrderOfEvents order, const std::string& rule,
                                   FolderOwner& owner) {
  bool smaller = true;
  while (smaller) {
    smaller = false;
    for (std::size_t length = std::max<std::size_t>(1, order.steps.size() / 2); length > 0;
         length /= 2) {
      smaller = DropSteps(order, length, rule, owner) || smaller;
    }
  }
  DropAnswers(order, rule, owner);
  return order;
}

void Show(const OrderOfEvents& order, const Breach& breach, FolderOwner& owner) {
  std::cout << "seed " << order.seed << " breaks " << breach.rule << ": " << breach.details << "\n";
  const OrderOfEvents smallest = Shrink(order, breach.rule, owner);
  std::string trace;
  const std::vector<Breach> breaches = Play(smallest, owner, &trace).breaches;
  std::cout << "smallest order, " << Describe(smallest) << "  what happens:\n" << trace;
  for (const Breach& left : breaches) {
    std::cout << "  " << left.rule << ": " << left.details << "\n";
  }
  std::cout << std::flush;
}

[[nodiscard]] std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// What was seen in all orders.
struct Exploration {
  std::uint64_t orders = 0;
  std::map<std::string, std::uint64_t> broken{};  // orders that break a rule, by its name
  Verdict sums{};                                 // without breaches
};

void Add(const Verdict& verdict, Verdict& sums) {
  sums.accepted += verdict.accepted;
  sums.delivered += verdict.delivered;
  sums.notified += verdict.notified;
  sums.restarts += verdict.restarts;
}

// Plays the orders, and shows some of those that break rules.
[[nodiscard]] Exploration Explore(std::uint64_t first, std::uint64_t count) {
  observe::SetUpLog({.level = observe::Level::kOff});
  SpoolFolder folder;
  const auto began = std::chrono::steady_clock::now();
  Exploration exploration{.orders = count};
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const OrderOfEvents order = OrderSource(seed).Draw();
    const Verdict verdict = Play(order, folder.owner());
    Add(verdict, exploration.sums);
    std::set<std::string> rules;
    for (const Breach& breach : verdict.breaches) {
      if (!rules.insert(breach.rule).second) continue;
      if (++exploration.broken[breach.rule] <= kMaxShown) Show(order, breach, folder.owner());
    }
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  std::cout << count << " orders from seed " << first << ", "
            << static_cast<double>(count) / took.count() << " a second, with "
            << exploration.sums.accepted << " accepted messages, " << exploration.sums.delivered
            << " delivered, " << exploration.sums.notified << " notified, "
            << exploration.sums.restarts << " restarts\n";
  for (const auto& [rule, orders] : exploration.broken) {
    std::cout << orders << " orders break " << rule << "\n";
  }
  return exploration;
}

// The orders are played once for all tests.
[[nodiscard]] const Exploration& PlayedOrders() {
  static const Exploration kExploration = Explore(FromEnvironment("EXPLORATION_FIRST", kFirstSeed),
                                                  FromEnvironment("EXPLORATION_COUNT", kOrders));
  return kExploration;
}

// The rules on messages of which the client was told to hand them in again.
[[nodiscard]] bool IsAboutDeferral(const std::string& rule) {
  return rule.find("deferral") != std::string::npos;
}

// The rules of one of the two sorts that were broken; empty if none was.
[[nodiscard]] std::string DescribeBroken(bool about_deferral) {
  std::string text;
  for (const auto& [rule, orders] : PlayedOrders().broken) {
    if (IsAboutDeferral(rule) != about_deferral) continue;
    text += std::to_string(orders) + " orders break " + rule + "\n";
  }
  return text;
}

// Guards against accepted messages that get no final answer in time, and calls made twice, in any
// order of events.
TEST_CASE("no order of events leaves a message without its final answer") {
  CHECK(DescribeBroken(false) == "");
}

// Guards against a message that runs although its client was told to hand it in again, in any order
// of events.
TEST_CASE("no order of events defers a message that may not be repeated and has it run") {
  CHECK(DescribeBroken(true) == "");
}

// Guards against orders in which next to nothing happens any more.
TEST_CASE("the orders deliver, notify and restart") {
  const Exploration& played = PlayedOrders();
  constexpr std::uint64_t kEnoughOrders = 100;
  if (played.orders < kEnoughOrders) return;
  CHECK(played.sums.accepted >= played.orders);
  CHECK(played.sums.delivered >= played.orders / 2);
  CHECK(played.sums.notified >= played.orders / 2);
  CHECK(played.sums.restarts >= played.orders / 4);
}

}  // namespace
}  // namespace brassfront::exploration
