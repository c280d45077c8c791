// Checks addresses, acceptors and leases of the cluster section.
#include "config/cluster_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace firvalve::config {
namespace {

constexpr size_t kMaxLeaseNameBytes = 200;

bool is_port(std::string_view text) {
  return !text.empty() && text.size() <= 5 &&
         text.find_first_not_of("0123456789") == std::string_view::npos &&
         std::stoi(std::string(text)) >= 1 && std::stoi(std::string(text)) <= 65535;
}

// Four numbers from 0 to 255 separated by dots.
bool is_ipv4_address(std::string_view text) {
  int parts = 0;
  int digits = 0;  // of the current part
  int value = 0;
  for (const char c : std::string(text) + ".") {
    if (c == '.') {
      if (digits == 0 || value > 255) return false;
      ++parts;
      digits = value = 0;
    } else if (c >= '0' && c <= '9' && value < 1000) {
      value = value * 10 + (c - '0');
      ++digits;
    } else {
      return false;
    }
  }
  return parts == 4;
}

// HOST:PORT with an IPv4 address as host. Host names are not allowed, as name lookups are not available
// everywhere.
bool is_address(std::string_view text) {
  const size_t colon = text.rfind(':');
  return colon != std::string_view::npos && is_ipv4_address(text.substr(0, colon)) &&
         is_port(text.substr(colon + 1));
}

// KIND:NAME
bool is_lease_name(std::string_view text) {
  const size_t colon = text.find(':');
  return colon != 0 && colon != std::string_view::npos && colon + 1 != text.size() &&
         text.size() <= kMaxLeaseNameBytes;
}

class ClusterChecks {
 public:
  explicit ClusterChecks(ParsedConfig& config) : config_(config), section_(config.values.cluster) {}

  void run() {
    if (section_.site.empty())
      add_diagnostic(DiagnosticCode::kMissingField, "fleet.site",
                     "is missing: expected the name of the site this gateway runs at");
    check_address("fleet.listen", section_.listen);
    if (!section_.peer_address.empty()) check_address("fleet.reached_at", section_.peer_address);
    check_acceptors();
    check_leases();
  }

 private:
  void add_diagnostic(DiagnosticCode code, const std::string& path, std::string message) {
    const auto at = config_.lines.find(path);
    const int line = at == config_.lines.end() ? config_.lines["fleet.on"] : at->second;
    config_.diagnostics.push_back({code, line, path, std::move(message)});
  }

  void check_address(const std::string& path, const std::string& address) {
    if (address.empty())
      return add_diagnostic(DiagnosticCode::kMissingField, path,
                            "is missing: expected HOST:PORT with an IPv4 address as host");
    if (!is_address(address))
      return add_diagnostic(DiagnosticCode::kNotAllowed, path,
                            fmt::format("\"{}\" is not HOST:PORT with an IPv4 address as host", address));
    if (!address.starts_with("127.") && !section_.trusted_network)
      add_diagnostic(
          DiagnosticCode::kInconsistent, path,
          fmt::format(
              "{} is off the loopback, and connections between gateways are neither encrypted nor "
              "authenticated: set fleet.trusted_network if no one else can read or write on that network",
              address));
  }

  void check_acceptors() {
    const std::vector<std::string>& acceptors = section_.acceptors;
    if (acceptors.size() != 3 && acceptors.size() != 5 && acceptors.size() != 7)
      add_diagnostic(
          DiagnosticCode::kNotAllowed, "fleet.keepers",
          fmt::format(
              "{} {}: expected three, five or seven; an even number tolerates only as many failures as "
              "one acceptor fewer, and a single acceptor loses the registers when it fails",
              acceptors.size(), acceptors.size() == 1 ? "is listed" : "are listed"));
    std::set<std::string> seen;
    for (const std::string& acceptor : acceptors) {
      check_address("fleet.keepers", acceptor);
      if (!seen.insert(acceptor).second)
        add_diagnostic(DiagnosticCode::kDuplicateField, "fleet.keepers",
                       fmt::format("{} is listed twice", acceptor));
    }
    const std::string& self = section_.advertised_address();
    if (!section_.folder.empty() && is_address(self) && seen.count(self) == 0)
      add_diagnostic(
          DiagnosticCode::kInconsistent, "fleet.folder",
          fmt::format(
              "{} is not one of fleet.keepers and stores nothing: leave fleet.folder empty, or add the "
              "address to fleet.keepers",
              self));
  }

  void check_leases() {
    for (const std::string& lease : section_.leases)
      if (!is_lease_name(lease))
        add_diagnostic(DiagnosticCode::kNotAllowed, "fleet.duties",
                       fmt::format("\"{}\" is neither KIND:NAME nor KIND:* (all names of a kind)", lease));
  }

  ParsedConfig& config_;
  const OperatorConfig::Cluster& section_;
};

}  // namespace

void check_cluster_section(ParsedConfig& config) {
  if (config.values.cluster.on) ClusterChecks(config).run();
}

}  // namespace firvalve::config
