// States written out as bytes, so that a search can tell which it has seen. Not for storage or the wire.
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
  Digest& add(std::string_view text) {
    add(text.size());
    text_ += text;
    return *this;
  }
  Digest& add(const std::string& text) { return add(std::string_view(text)); }
  Digest& add(const Ballot& b) { return add(b.number).add(b.asker); }
  Digest& add(const Register& f) {
    return add(f.version).add(f.change).add(f.before).add(f.value).add(f.urgent);
  }
  Digest& add(const AcceptorSlot& s) { return add(s.promised).add(s.held).add(s.fact); }
  Digest& add(const ReplicaMetadata& s) { return add(s.life).add(s.full).add(s.lives).add(s.founders); }
  Digest& add(const Message& m) {
    add(static_cast<uint8_t>(m.say)).add(m.op).add(m.key).add(m.ballot).add(m.held).add(m.fact).add(m.life);
    add(m.lives).add(m.founders).add(m.since).add(m.full).add(m.more).add(m.entries.size());
    for (const auto& [key, slot] : m.entries) add(key).add(slot);
    return *this;
  }
  Digest& add(const std::vector<uint64_t>& all) {
    add(all.size());
    for (const uint64_t one : all) add(one);
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace firvalve::consensus
