// Cost of zones: reading, memory, one change, one query, one transfer, and the merged list.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <filesystem>
#include <string>

#include "dns/transfer.hpp"
#include "dns/update.hpp"
#include "dns/zone_file.hpp"
#include "membership/membership.hpp"
#include "membership/zone_map.hpp"
#include "zones/store.hpp"

namespace brassfront {
namespace {

const dns::Name kOrigin = dns::Name::FromLiteral("example.");

// Returns a zone file with this number of records: services with one SRV, one TXT and one A record
// each.
std::string Text(long records) {
  std::string text = "$TTL 60\n@ SOA ns host 1 3600 900 604800 60\n@ NS ns\n";
  for (long n = 0; n < records / 3; ++n) {
    const std::string number = std::to_string(n);
    text += "_p._tcp.s" + number + " SRV 0 10 8080 h" + number + "\n" + "_p._tcp.s" + number +
            " TXT destination=" + number + " kind=small-shop zone=a\nh" + number + " A 10." +
            std::to_string(n >> 16) + "." + std::to_string(n >> 8 & 255) + "." +
            std::to_string(n & 255) + "\n";
  }
  return text;
}

dns::Zone Read(const std::string& text) {
  return dns::ReadZone({"zone", text, "zone"}, kOrigin,
                       [](const dns::ZoneText&, const std::string&, std::string&) {
                         return std::optional<dns::ZoneText>();
                       });
}

std::size_t Allocated() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void ReadZone(benchmark::State& state) {
  const std::string text = Text(state.range(0));
  std::size_t records = 0;
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::size_t before = Allocated();
    const dns::Zone zone = Read(text);
    records = zone.records();
    bytes = Allocated() - before;
  }
  state.counters["bytes_a_record"] = static_cast<double>(bytes) / static_cast<double>(records);
}

// Returns an update that gives one host a new address, which depends on `turn`.
dns::Message Update(long records, int turn) {
  dns::Message update;
  update.opcode = dns::Opcode::kUpdate;
  update.question = {{kOrigin, dns::type::kSoa, dns::klass::kIn}};
  const dns::Name host = dns::Name::FromLiteral("h" + std::to_string(records / 7) + ".example.");
  update.authority = {{host, dns::type::kA, dns::klass::kAny, 0, ""},
                      {host, dns::type::kA, dns::klass::kIn, 60,
                       std::string("\x0a\x01\x01") + static_cast<char>(turn)}};
  return update;
}

// Computes and applies an update, then computes the affected service and the change of the list.
void OneChange(benchmark::State& state) {
  dns::Zone zone = Read(Text(state.range(0)));
  membership::ZoneMap map({"small-shop", "a"});
  membership::Membership merged({.on = false});
  const auto source = merged.AddSource({"zone"});
  for (const auto& service : map.Replace(zone)) {
    merged.Take(source, service.name, service.members, 0);
  }
  merged.Changes(0);
  const dns::Name key = dns::Name::FromLiteral("key.");
  const std::vector<dns::Grant> grants = {{key, kOrigin, {}, true, false}};
  int turn = 0;
  for (auto _ : state) {
    auto outcome = EvaluateUpdate(zone, Update(state.range(0), ++turn), key, grants);
    zone.Apply(*outcome.change);
    for (const auto& service : map.Apply(zone, *outcome.change)) {
      merged.Take(source, service.name, service.members, turn);
    }
    const auto list = merged.Changes(turn);
    if (!list || list->members.size() != 2) state.SkipWithError("unexpected result of a change");
  }
}

// The same, including the write to disk.
void OneDurableChange(benchmark::State& state) {
  const auto folder = std::filesystem::temp_directory_path() / "brassfront-zones-bench";
  std::filesystem::remove_all(folder);
  {
    zones::ZoneStore store(folder.string(), kOrigin, {});
    store.Replace(Read(Text(state.range(0))));
    const dns::Name key = dns::Name::FromLiteral("key.");
    const std::vector<dns::Grant> grants = {{key, kOrigin, {}, true, false}};
    int turn = 0;
    for (auto _ : state) {
      const auto outcome =
          EvaluateUpdate(store.zone(), Update(state.range(0), ++turn), key, grants);
      if (!store.Commit(*outcome.change)) state.SkipWithError(store.why().c_str());
    }
  }
  std::filesystem::remove_all(folder);
}

void StartOfStore(benchmark::State& state) {
  const auto folder = std::filesystem::temp_directory_path() / "brassfront-zones-bench";
  std::filesystem::remove_all(folder);
  zones::ZoneStore(folder.string(), kOrigin, {}).Replace(Read(Text(state.range(0))));
  for (auto _ : state) {
    const zones::ZoneStore store(folder.string(), kOrigin, {});
    benchmark::DoNotOptimize(store.zone().records());
  }
  std::filesystem::remove_all(folder);
}

void Query(benchmark::State& state) {
  const dns::Zone zone = Read(Text(state.range(0)));
  const dns::Name name = dns::Name::FromLiteral("_p._tcp.s77.example.");
  for (auto _ : state) benchmark::DoNotOptimize(zone.Query(name, dns::type::kSrv));
}

void WholeTransfer(benchmark::State& state) {
  const dns::Zone zone = Read(Text(state.range(0)));
  const dns::Message request = dns::TransferRequest(kOrigin, std::nullopt, 1);
  for (auto _ : state) {
    dns::TransferReader reader(kOrigin, std::nullopt, 1, std::nullopt);
    std::optional<dns::TransferResult> done;
    for (const auto& part :
         dns::TransferAnswer(zone, request, true, dns::kMaxMessageBytes, nullptr, 0)) {
      done = reader.Take(part, 0);
    }
    if (!done || !std::holds_alternative<dns::FullZone>(*done)) state.SkipWithError("cut short");
  }
}

BENCHMARK(ReadZone)->Arg(1000)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond);
BENCHMARK(OneChange)->Arg(1000)->Arg(10000)->Arg(100000)->Unit(benchmark::kMicrosecond);
BENCHMARK(OneDurableChange)->Arg(1000)->Arg(100000)->Unit(benchmark::kMicrosecond);
BENCHMARK(StartOfStore)->Arg(100000)->Unit(benchmark::kMillisecond);
BENCHMARK(Query)->Arg(1000)->Arg(100000);
BENCHMARK(WholeTransfer)->Arg(100000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace brassfront

BENCHMARK_MAIN();
