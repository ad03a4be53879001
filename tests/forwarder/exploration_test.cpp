// Plays random orders of events against the parts that must give each accepted message its final
// answer, in virtual time: no thread, no socket, no sleep. Each seed generates one order. An order
// that breaks a rule is printed with its seed, shrunk as far as it still breaks the same rule.
//
// The environment variables EXPLORATION_FIRST (a seed) and EXPLORATION_COUNT select other orders
// than the default ones. A count of 1 plays a single order again.
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
constexpr std::uint64_t kOrders = 15'000;  // an order takes about 7 times as long
#else
constexpr std::uint64_t kOrders = 100'000;
#endif
constexpr std::uint64_t kMaxShown = 2;  // failing orders per rule that are shrunk and printed

// A temporary folder for spools, in memory if the system has a file system in memory.
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

// Removes runs of `length` steps as long as the rule is still broken. Returns true if any step was
// removed.
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

// Removes answers of endpoints as long as the rule is still broken.
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

// Returns the smallest part of the order found that still breaks the rule.
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

// The results of all orders.
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

// Plays the orders, and prints some of those that break rules.
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

// Plays the orders once for all tests.
[[nodiscard]] const Exploration& PlayedOrders() {
  static const Exploration kExploration = Explore(FromEnvironment("EXPLORATION_FIRST", kFirstSeed),
                                                  FromEnvironment("EXPLORATION_COUNT", kOrders));
  return kExploration;
}

// Whether the rule is about messages that are deferred: their clients may submit them again.
[[nodiscard]] bool IsAboutDeferral(const std::string& rule) {
  return rule.find("deferral") != std::string::npos;
}

// Returns the broken rules of one of the two kinds; empty if none was broken.
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

// Guards against a message that runs although the platform let its client submit it again, in any
// order of events.
TEST_CASE("no order of events defers a message that may not be repeated and has it run") {
  CHECK(DescribeBroken(true) == "");
}

// Guards against a generator whose orders contain hardly any events.
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
