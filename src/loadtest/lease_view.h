// Tracks which holder of each lease every gateway of a cluster knows, from the answers that acceptors sent
// it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "consensus/register.h"

namespace firvalve::loadtest {

// Thread-safe.
class LeaseView {
 public:
  LeaseView(std::vector<std::string> leases, size_t members);

  // Records an answer that an acceptor sent to this member.
  void take_answer(size_t member, const consensus::Message& message, Ms now);
  // Clears what this member knows, because its process was restarted.
  void forget(size_t member);

  // Whether all of these members have received an update since `since`, agree on the holder of each lease,
  // and every holder is a key of `holders`.
  bool is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                 Ms since) const;
  // Returns the holder in the newest claim that any member saw, or nothing if the lease is free.
  std::optional<std::string> holder(const std::string& lease) const;

 private:
  struct Seen {
    uint64_t epoch = 0;
    bool released = false;
    std::string holder;
  };
  struct Member {
    Ms told_at = 0;
    std::vector<Seen> seen;  // by lease
  };
  const Seen* newest(size_t lease) const;

  const std::vector<std::string> leases_;
  std::map<std::string, size_t> numbers_;  // index by lease name
  mutable std::mutex mutex_;
  std::vector<Member> members_;
};

}  // namespace firvalve::loadtest
