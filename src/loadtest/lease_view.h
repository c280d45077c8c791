// What each gateway of a fleet has been told of who holds which lease, as keepers told it.
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

// From any thread.
class LeaseView {
 public:
  LeaseView(std::vector<std::string> leases, size_t members);

  // An answer of a keeper that came to this member.
  void take_answer(size_t member, const consensus::Message& message, Ms now);
  // A new process there knows nothing yet.
  void forget(size_t member);

  // Whether all of them have been told something since `since`, agree on who holds each lease, and each
  // holder is one of `holders`, which has an entry a name.
  bool is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                 Ms since) const;
  // The holder of a lease as the newest claim that any member saw names it; none: nobody holds it.
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
  std::map<std::string, size_t> numbers_;  // of leases
  mutable std::mutex mutex_;
  std::vector<Member> members_;
};

}  // namespace firvalve::loadtest
