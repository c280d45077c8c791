// Measures paged results: throughput of memory, compression and disk; lease expiry by timing wheel and by
// map; how long slow readers occupy engines; memory used by stopped readers; the cost of a small unpaged
// result; the time to serve after a kill.
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <lz4.h>
#include <signal.h>
#include <unistd.h>
#include <zstd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

#include "base/timing_wheel.h"
#include "client/client.h"
#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "proto/jsonrpc/reply.h"
#include "results/paged_result_store.h"
#include "results/segment_files.h"

namespace {

using namespace firvalve;
using Clock = std::chrono::steady_clock;

double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

// Rows like those of a passenger list: names repeat, numbers do not.
std::string passenger_rows(size_t bytes, unsigned seed) {
  static constexpr const char* kNames[] = {"Quispe", "Mamani", "Flores", "Huaman", "Rojas", "Vargas"};
  std::string rows;
  while (rows.size() < bytes) {
    seed = seed * 1664525 + 1013904223;
    rows += fmt::format("{:08}\t{} {}\t{}-{:02}\n", seed >> 4, kNames[seed % 6], kNames[(seed >> 8) % 6],
                        2026 + (seed >> 12) % 3, (seed >> 16) % 28 + 1);
  }
  return rows;
}

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    char name[] = "/tmp/firvalve-bench-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path;
};

void run_compress() {
  for (const size_t size : {size_t{6000}, size_t{64000}, size_t{1000000}}) {
    const std::string rows = passenger_rows(size, 1);
    const int rounds = static_cast<int>(200'000'000 / rows.size());
    std::string out(ZSTD_compressBound(rows.size()) + 1000, '\0'), back(rows.size(), '\0');
    const auto measure = [&](const char* name, auto&& compress, auto&& decompress) {
      auto start = Clock::now();
      size_t compressed_bytes = 0;
      for (int i = 0; i < rounds; ++i) compressed_bytes = compress();
      const double in = ms_since(start);
      start = Clock::now();
      for (int i = 0; i < rounds; ++i) decompress(compressed_bytes);
      const double mb = static_cast<double>(rows.size()) * rounds / 1e6;
      fmt::print("{} bytes, {}: to {:.0f} in 100; {:.0f} MB/s in, {:.0f} MB/s out\n", rows.size(), name,
                 100.0 * static_cast<double>(compressed_bytes) / static_cast<double>(rows.size()),
                 1000 * mb / in, 1000 * mb / ms_since(start));
    };
    const int length = static_cast<int>(rows.size());
    measure(
        "LZ4",
        [&] {
          return static_cast<size_t>(
              LZ4_compress_default(rows.data(), out.data(), length, static_cast<int>(out.size())));
        },
        [&](size_t n) { LZ4_decompress_safe(out.data(), back.data(), static_cast<int>(n), length); });
    for (const int level : {1, 3})
      measure(
          level == 1 ? "Zstandard 1" : "Zstandard 3",
          [&] { return ZSTD_compress(out.data(), out.size(), rows.data(), rows.size(), level); },
          [&](size_t n) { ZSTD_decompress(back.data(), back.size(), out.data(), n); });
  }
}

void run_through(int mb, bool disk) {
  TemporaryDirectory folder;
  results::PagedResultStoreOptions options;
  options.retention.memory_bytes = 16e6;
  options.retention.disk_bytes = disk ? 4e9 : 0;
  options.retention.lease = Duration(1e6);
  const TimePoint now = time_point_of(1000);
  results::PagedResultStore store(options, 1, [](std::string_view) {});
  std::unique_ptr<results::SegmentFiles> files;
  if (disk) {
    files = std::make_unique<results::SegmentFiles>(results::SegmentFiles::Options{folder.path}, now, [] {});
    store.attach_storage(now, *files, {});
  }
  const std::string rows = passenger_rows(64000, 1);
  const int pages = static_cast<int>(mb * 1e6 / static_cast<double>(rows.size()));
  const auto start = Clock::now();
  std::optional<ResultHandle> id;
  std::vector<std::string> tokens;
  for (int i = 0; i < pages; ++i) {
    if (i % 100 == 0) {
      if (id) store.complete(now, *id), tokens.push_back(store.answer_of(*id).token);
      id = store.reserve(now, {"x", "", "report", "select 1", "00000000000000a1", 1});
    }
    while (store.append_page(now, id.value_or(0), rows) == ResultStore::AppendResult::kStoredSlowDown) {
      while (files->backlog_bytes() > 1000000) store.handle_due(now), std::this_thread::yield();
      break;
    }
    store.handle_due(now);
  }
  store.complete(now, id.value_or(0));
  const double in = ms_since(start);
  fmt::print("{}: {} MB of rows in at {:.0f} MB/s, {:.1f} MB of spool memory\n",
             disk ? "with disk" : "memory alone", mb, 1000.0 * mb / in,
             store.retention().memory_bytes() / 1e6);
  if (!disk) return;
  const auto read_start = Clock::now();
  double read_bytes = 0;
  int requested = 0, received = 0;
  for (const std::string& token : tokens)
    for (uint64_t page = 1; page <= 100; ++page) {
      ++requested;
      store.read_page(now, token, "", page,
                      [&](TimePoint, ResultStore::ReadStatus, std::string_view text, uint64_t) {
                        ++received;
                        read_bytes += static_cast<double>(text.size());
                      });
      while (requested - received > 32) store.handle_due(now), std::this_thread::yield();
    }
  while (received < requested) store.handle_due(now), std::this_thread::yield();
  fmt::print("with disk: {:.0f} MB out at {:.0f} MB/s\n", read_bytes / 1e6,
             read_bytes / 1000 / ms_since(read_start));
}

void run_leases(int count) {
  struct Node : base::TimingWheelNode {};
  std::vector<Node> nodes(static_cast<size_t>(count));
  uint64_t seed = 1;
  const auto next = [&] { return (seed = seed * 6364136223846793005ULL + 1442695040888963407ULL) >> 33; };
  {
    base::TimingWheel wheel;
    for (Node& n : nodes) wheel.schedule(n, 1 + next() % 4000);
    const auto start = Clock::now();
    for (int i = 0; i < 2000000; ++i) wheel.schedule(nodes[next() % nodes.size()], 1 + next() % 4000);
    const double renewals_ms = ms_since(start);
    const auto expiry_start = Clock::now();
    uint64_t fired = 0;
    for (uint64_t t = 1; t <= 4000; ++t) wheel.advance(t, [&](base::TimingWheelNode&) { ++fired; });
    fmt::print("wheel, {} leases: {:.0f} ns a renewal, {:.0f} ns an end\n", count, 1e6 * renewals_ms / 2e6,
               1e6 * ms_since(expiry_start) / static_cast<double>(fired));
  }
  {
    std::multimap<uint64_t, size_t> map;
    std::vector<std::multimap<uint64_t, size_t>::iterator> at;
    for (size_t i = 0; i < nodes.size(); ++i) at.push_back(map.emplace(1 + next() % 4000, i));
    const auto start = Clock::now();
    for (int i = 0; i < 2000000; ++i) {
      const size_t n = next() % nodes.size();
      map.erase(at[n]);
      at[n] = map.emplace(1 + next() % 4000, n);
    }
    const double renewals_ms = ms_since(start);
    const auto expiry_start = Clock::now();
    uint64_t fired = 0;
    for (uint64_t t = 1; t <= 4000; ++t)
      while (!map.empty() && map.begin()->first <= t) map.erase(map.begin()), ++fired;
    fmt::print("plain map, {} leases: {:.0f} ns a renewal, {:.0f} ns an end\n", count,
               1e6 * renewals_ms / 2e6, 1e6 * ms_since(expiry_start) / static_cast<double>(fired));
  }
}

// ---- With the gateway program -------------------------------------------------------------------

// A gateway process with fake engines. `spool`: fields of the operator file's `spool` section; empty: turned
// off.
struct Installation {
  Installation(const std::string& program, const std::string& spool, int memory_mb = 192, int engines = 4)
      : fleet(engines) {
    std::vector<std::string> arguments;
    if (!spool.empty()) {
      std::ofstream(folder.path + "/operator.json5") << R"({"spool": {"on": true, )" << spool << "}}";
      arguments = {"--operator", folder.path + "/operator.json5"};
    }
    process = std::make_unique<fakes::Process>(program, fleet.config(address, memory_mb, 4096), arguments);
    fakes::Process::listens(address);
  }
  double resident_mb() const {
    std::ifstream file(fmt::format("/proc/{}/statm", process->id()));
    double all = 0, resident = 0;
    file >> all >> resident;
    return resident * double(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  double cpu_ms() const {
    std::ifstream file(fmt::format("/proc/{}/stat", process->id()));
    std::string word;
    double user = 0, system = 0;
    for (int i = 1; i <= 15 && file >> word; ++i) {
      if (i == 14) user = std::stod(word);
      if (i == 15) system = std::stod(word);
    }
    return (user + system) * 1000 / double(::sysconf(_SC_CLK_TCK));
  }
  int descriptors() const {
    return static_cast<int>(
        std::distance(std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process->id())),
                      std::filesystem::directory_iterator()));
  }
  client::Options options() const {
    client::Options o;
    o.gateways = {address};
    o.seed = 1;
    return o;
  }
  std::vector<Ms> held() {
    std::vector<Ms> all;
    for (int i = 0; i < fleet.engines(); ++i)
      for (const Ms ms : fleet.engine(i).held_after_ready()) all.push_back(ms);
    std::sort(all.begin(), all.end());
    return all;
  }
  TemporaryDirectory folder;
  fakes::FakeDeployment fleet;
  std::string address = fakes::free_address();
  std::unique_ptr<fakes::Process> process;
};

client::Command report(const std::string& statement, bool paged) {
  client::Command c{"report", statement, 18000, 20, 1, client::Effect::kReplayable};
  c.paged = paged;
  return c;
}

void run_held(const std::string& program, int readers) {
  for (const bool on : {true, false}) {
    Installation installation(program, on ? R"("memory_mb": 32)" : "");
    client::Client client(installation.options());
    std::vector<client::Handle> handles;
    for (int i = 0; i < readers; ++i)
      handles.push_back(client.send(report(fmt::format("select {} /*! rows=20 pages=8 */", i), on)));
    for (const auto& h : handles) h.wait();
    // Waits until every query has been released. No page is read meanwhile, so no reader makes an engine send
    // one.
    std::vector<Ms> held;
    for (int i = 0; i < 6000 && held.size() < static_cast<size_t>(readers); ++i)
      ::usleep(1000), held = installation.held();
    const auto percentile = [&](double q) {
      return held.empty() ? 0 : held[static_cast<size_t>(q * double(held.size() - 1))];
    };
    fmt::print(
        "spool {}: {} readers; queries held after their last row: median {:.0f} ms, 99 in 100 under {:.0f} "
        "ms\n",
        on ? "on" : "off", readers, percentile(0.5), percentile(0.99));
  }
}

void run_stopped(const std::string& program, int readers) {
  Installation installation(program, R"("memory_mb": 8)", 32);
  const double before = installation.resident_mb();
  const int before_fds = installation.descriptors();
  std::vector<Poco::Net::StreamSocket> sockets;
  int answered = 0;
  for (int i = 0; i < readers; ++i) {
    sockets.emplace_back();
    sockets.back().connect(Poco::Net::SocketAddress(installation.address));
    std::string out;
    proto::append_command(out, {1,
                                "report",
                                fmt::format("select {} /*! rows=20 pages=4 */", i),
                                fmt::format("{:016x}", i + 1),
                                {},
                                15000,
                                20,
                                1,
                                true});
    sockets.back().sendBytes(out.data(), static_cast<int>(out.size()));
    if (i % 50 == 49) ::usleep(20000);
  }
  for (auto& s : sockets) answered += s.poll(Poco::Timespan(10, 0), Poco::Net::Socket::SELECT_READ);
  fmt::print(
      "{} readers that stopped ({} had an answer waiting): {:.1f} MB of memory ({:.1f} before), {} "
      "descriptors ({} before)\n",
      readers, answered, installation.resident_mb(), before, installation.descriptors(), before_fds);
}

void run_plain(const std::string& program, int calls) {
  for (const char* spool : {"", R"("memory_mb": 8)"}) {
    Installation installation(program, spool);
    client::Client client(installation.options());
    std::vector<double> call_ms;
    const double before = installation.cpu_ms();
    for (int i = 0; i < calls; ++i) {
      const auto start = Clock::now();
      client.call({"lookup", "select 1", 5000, 20, 1, client::Effect::kReplayable});
      call_ms.push_back(ms_since(start));
    }
    std::sort(call_ms.begin(), call_ms.end());
    fmt::print(
        "plain results, spool {}: {} calls one by one: median {:.3f} ms, {:.1f} us of the gateway's CPU a "
        "call\n",
        *spool ? "on" : "off", calls, call_ms[call_ms.size() / 2],
        1000 * (installation.cpu_ms() - before) / calls);
  }
}

void run_recover(const std::string& program, int mb) {
  TemporaryDirectory data;
  Installation installation(
      program,
      fmt::format(
          R"("memory_mb": 32, "disk_mb": {}, "page_kb": 1000, "result_mb": 100, "lease_s": 3600, "folder": "{}")",
          2 * mb, data.path));
  client::Options options = installation.options();
  options.spread_ms = options.max_spread_ms = 0;  // measures the gateway only, without the client's delays
  client::Client client(options);
  const auto bytes = [&] {
    uintmax_t all = 0;
    for (const auto& e : std::filesystem::directory_iterator(data.path)) all += e.file_size();
    return static_cast<double>(all) / 1e6;
  };
  // The fake engine's rows compress well, so many of them are needed to fill the segments.
  std::string token;
  for (int i = 0; bytes() < mb && i < 20000; ++i)
    token =
        client.call(report(fmt::format("select {} /*! rows=20000 pages=20 row-bytes=20 */", i), true)).token;
  ::usleep(500000);
  installation.process->stop(SIGKILL);
  const auto start = Clock::now();
  installation.process->start();
  fakes::Process::listens(installation.address);
  const double listens = ms_since(start);
  client::PageReader pages(client, {installation.address}, token, "", 2, {});
  std::string rows;
  const bool served = pages.next(rows) == client::PageReader::Next::kPage;
  fmt::print("{:.0f} MB of segments: it listens after {:.0f} ms, the first page is {} after {:.0f} ms\n",
             bytes(), listens, served ? "served" : "not served", ms_since(start));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures paged results.");
  app.require_subcommand(1);
  std::string program = "build-test/firvalve";
  int mb = 500, readers = 200, stopped = 1000, calls = 20000, leases = 100000;
  app.add_subcommand("compress", "LZ4 compared with Zstandard")->callback([] { run_compress(); });
  CLI::App* const through = app.add_subcommand("through", "MB/s written and read");
  through->add_option("--mb", mb)->check(CLI::Range(10, 4000))->capture_default_str();
  through->callback([&] { run_through(mb, false), run_through(mb, true); });
  app.add_subcommand("leases", "lease expiry by timing wheel, compared with a map")->callback([&] {
    run_leases(leases);
  });
  CLI::App* const held =
      app.add_subcommand("held", "how long engines hold finished queries, with paged results on and off");
  held->add_option("--program", program)->capture_default_str();
  held->add_option("--readers", readers)->check(CLI::Range(1, 2000))->capture_default_str();
  held->callback([&] { run_held(program, readers); });
  CLI::App* const stop = app.add_subcommand("stopped", "memory and descriptors used by stopped readers");
  stop->add_option("--program", program)->capture_default_str();
  stop->add_option("--readers", stopped)->check(CLI::Range(1, 2000))->capture_default_str();
  stop->callback([&] { run_stopped(program, stopped); });
  CLI::App* const plain = app.add_subcommand("plain", "cost of a small unpaged result");
  plain->add_option("--program", program)->capture_default_str();
  plain->add_option("--calls", calls)->check(CLI::Range(100, 1000000))->capture_default_str();
  plain->callback([&] { run_plain(program, calls); });
  CLI::App* const recover = app.add_subcommand("recover", "time until the gateway serves again after a kill");
  recover->add_option("--program", program)->capture_default_str();
  recover->add_option("--mb", mb)->check(CLI::Range(10, 4000))->capture_default_str();
  recover->callback([&] { run_recover(program, mb); });
  CLI11_PARSE(app, argc, argv);
  return 0;
}
