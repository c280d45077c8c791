// What clients may ask of the fleet as a whole, as the front that is asked sees it. Behind it stand the
// duties and the record.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/core.h"

namespace firvalve {

class ClusterRequests {
 public:
  virtual ~ClusterRequests() = default;

  // A load that runs once under a name over the whole fleet. The call's end comes through the front, as any
  // command's.
  virtual void merge(Ms now, CallRef call, std::string_view name, CommandRequest&& asked) = 0;
  virtual void gone(Ms now, CallRef call) = 0;  // its client waits no longer; of no merge: nothing happens

  // A change of a bulletin's versions or declarations, or a reading of them. `done` is called once, later,
  // unless the process ends first.
  struct ClusterReply {
    enum class Kind : uint8_t { kDone, kRefused, kBadParams, kNoMajority, kUnknown } kind = Kind::kUnknown;
    std::string text;  // kDone: the result; kRefused: the breaches, both JSON; kBadParams: why
  };
  using Done = std::function<void(const ClusterReply&)>;
  virtual void bulletin(Ms now, std::string_view method, std::string_view name, const std::string& params,
                        Ms timeout, Done done) = 0;
};

constexpr size_t kFleetNameMost = 128;  // bytes of a load's or a bulletin's name

}  // namespace firvalve
