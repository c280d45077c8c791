// Digest: serializes state to bytes, so that a state-space search can recognize states that it has visited.
// The format is for neither storage nor the wire.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "consensus/acceptor.h"

namespace firvalve::consensus {

class Digest {
 public:
  template <class Number>
  requires std::is_arithmetic_v<Number> Digest& add(Number value) {
    text_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  template <class Enum>
  requires std::is_enum_v<Enum> Digest& add(Enum value) {
    return add(static_cast<std::underlying_type_t<Enum>>(value));
  }
  Digest& add(BootTime time) { return add(to_ms(time)); }
  Digest& add(std::optional<BootTime> time) { return add(time.has_value()).add(time.value_or(BootTime())); }
  Digest& add(std::string_view text) {
    add(text.size());
    text_ += text;
    return *this;
  }
  Digest& add(const std::string& text) { return add(std::string_view(text)); }
  Digest& add(const Ballot& ballot) { return add(ballot.number).add(ballot.proposer_id); }
  Digest& add(const Register& state) {
    return add(state.version)
        .add(state.change_id)
        .add(state.earlier_changes)
        .add(state.value)
        .add(state.is_urgent);
  }
  Digest& add(const AcceptorSlot& slot) {
    return add(slot.promised_ballot).add(slot.accepted_ballot).add(slot.accepted);
  }
  Digest& add(const ReplicaMetadata& metadata) {
    return add(metadata.incarnation)
        .add(metadata.is_voting)
        .add(metadata.known_incarnations)
        .add(metadata.bootstrap_incarnations);
  }
  Digest& add(const Message& message) {
    add(message.type).add(message.request_id).add(message.key);
    add(message.ballot).add(message.accepted_ballot).add(message.register_state);
    add(message.incarnation).add(message.known_incarnations).add(message.bootstrap_incarnations);
    add(message.since).add(message.is_out_of_space).add(message.is_voting).add(message.has_more);
    add(message.entries.size());
    for (const auto& [key, slot] : message.entries) add(key).add(slot);
    return *this;
  }
  Digest& add(const std::vector<uint64_t>& values) {
    add(values.size());
    for (const uint64_t value : values) add(value);
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace firvalve::consensus
