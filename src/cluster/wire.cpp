#include "cluster/wire.h"

#include <fmt/format.h>

#include <cstring>
#include <iterator>

#include "peers_generated.h"

namespace firvalve::cluster {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

wire::Ballot out_of(const consensus::Ballot& b) { return {b.number, b.proposer_id}; }
consensus::Ballot from(const wire::Ballot* b) {
  return b ? consensus::Ballot{b->number(), b->asker()} : consensus::Ballot{};
}

Offset<flatbuffers::Vector<uint64_t>> numbers(FlatBufferBuilder& b, const std::vector<uint64_t>& all) {
  return all.empty() ? 0 : b.CreateVector(all);
}
std::vector<uint64_t> from(const flatbuffers::Vector<uint64_t>* all) {
  return all ? std::vector<uint64_t>(all->begin(), all->end()) : std::vector<uint64_t>();
}

Offset<wire::Register> out_of(FlatBufferBuilder& b, const consensus::Register& f) {
  if (f == consensus::Register{}) return 0;
  const auto before = numbers(b, f.earlier_changes);
  const auto value = b.CreateVector(reinterpret_cast<const uint8_t*>(f.value.data()), f.value.size());
  return wire::CreateRegister(b, f.version, f.change_id, before, value, f.is_urgent);
}
consensus::Register from(const wire::Register* f) {
  if (!f) return {};
  consensus::Register out{f->version(), f->change(), from(f->before()), {}, f->urgent()};
  if (f->value()) out.value.assign(f->value()->begin(), f->value()->end());
  return out;
}

Offset<wire::AcceptorSlot> out_of(FlatBufferBuilder& b, const std::string& key,
                                  const consensus::AcceptorSlot& s) {
  const auto name = b.CreateString(key);
  const auto fact = out_of(b, s.accepted);
  const wire::Ballot promised = out_of(s.promised_ballot), held = out_of(s.accepted_ballot);
  return wire::CreateAcceptorSlot(b, name, &promised, &held, fact);
}
consensus::AcceptorSlot from(const wire::AcceptorSlot& s) {
  return {from(s.promised()), from(s.held()), from(s.fact())};
}

std::string bytes_of(const FlatBufferBuilder& b) {
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}

// Of bytes anywhere: numbers in it must lie as the machine wants them, so it is read in a copy of its own.
template <class Table, class Read>
auto read(std::string_view bytes, Read&& read) -> decltype(read(std::declval<const Table&>())) {
  if (bytes.size() < 8) return {};
  std::vector<uint64_t> copy(bytes.size() / 8 + 1);
  std::memcpy(copy.data(), bytes.data(), bytes.size());
  const auto* const data = reinterpret_cast<const uint8_t*>(copy.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>()) return {};
  return read(*flatbuffers::GetRoot<Table>(data));
}

constexpr auto kHead = FMT_STRING("Content-Length: {}\r\n\r\n");

}  // namespace

void append_frame(std::string& out, const Frame& frame) {
  FlatBufferBuilder b(1024);
  std::vector<Offset<wire::Part>> parts;
  for (const consensus::Message& m : frame.parts) {
    const auto key = m.key.empty() ? 0 : b.CreateString(m.key);
    const auto fact = out_of(b, m.register_state);
    const auto lives = numbers(b, m.known_incarnations), founders = numbers(b, m.bootstrap_incarnations);
    std::vector<Offset<wire::AcceptorSlot>> slots;
    for (const auto& [name, slot] : m.entries) slots.push_back(out_of(b, name, slot));
    const auto entries = slots.empty() ? 0 : b.CreateVector(slots);
    const wire::Ballot ballot = out_of(m.ballot), held = out_of(m.accepted_ballot);
    wire::PartBuilder part(b);
    part.add_op(m.request_id);
    part.add_life(m.incarnation);
    part.add_since(m.since);
    if (m.ballot != consensus::Ballot{}) part.add_ballot(&ballot);
    if (m.accepted_ballot != consensus::Ballot{}) part.add_held(&held);
    part.add_key(key);
    part.add_fact(fact);
    part.add_lives(lives);
    part.add_founders(founders);
    part.add_entries(entries);
    part.add_say(static_cast<uint8_t>(m.type));
    part.add_full(m.is_voting || m.is_out_of_space);
    part.add_more(m.has_more);
    parts.push_back(part.Finish());
  }
  const auto name = b.CreateString(frame.from);
  const auto all = b.CreateVector(parts);
  b.Finish(wire::CreateFrame(b, kFrameVersion, name, frame.keepers, all));
  fmt::format_to(std::back_inserter(out), kHead, b.GetSize());
  out.append(reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize());
}

size_t framed_size(size_t body) { return fmt::formatted_size(kHead, body) + body; }

std::optional<Frame> read_frame(std::span<const char> body, const char*& why) {
  why = "not a frame";
  return read<wire::Frame>({body.data(), body.size()}, [&why](const wire::Frame& in) -> std::optional<Frame> {
    if (in.version() != kFrameVersion) {
      why = "of another version";
      return {};
    }
    if (!in.from() || in.from()->size() == 0) return {};
    Frame out;
    out.from = in.from()->str();
    out.keepers = in.keepers();
    if (!in.parts()) return out;
    for (const wire::Part* const part : *in.parts()) {
      if (part->say() < 1 || part->say() > static_cast<uint8_t>(consensus::MessageType::kState)) continue;
      consensus::Message& m = out.parts.emplace_back();
      m.type = static_cast<consensus::MessageType>(part->say());
      m.request_id = part->op();
      if (part->key()) m.key = part->key()->str();
      m.ballot = from(part->ballot());
      m.accepted_ballot = from(part->held());
      m.register_state = from(part->fact());
      m.incarnation = part->life();
      m.known_incarnations = from(part->lives());
      m.bootstrap_incarnations = from(part->founders());
      m.since = part->since();
      (m.type == consensus::MessageType::kRejected ? m.is_out_of_space : m.is_voting) = part->full();
      m.has_more = part->more();
      if (part->entries())
        for (const wire::AcceptorSlot* const slot : *part->entries())
          if (slot->key()) m.entries.emplace_back(slot->key()->str(), from(*slot));
    }
    return out;
  });
}

size_t size_of(const consensus::Message& m) {
  size_t all = 64 + m.key.size() + m.register_state.value.size() +
               8 * (m.register_state.earlier_changes.size() + m.known_incarnations.size());
  for (const auto& [key, slot] : m.entries)
    all += 96 + key.size() + slot.accepted.value.size() + 8 * slot.accepted.earlier_changes.size();
  return all;
}

std::string written(const consensus::AcceptorSlot& slot) {
  FlatBufferBuilder b(256);
  b.Finish(out_of(b, "", slot));
  return bytes_of(b);
}

std::optional<consensus::AcceptorSlot> read_slot(std::string_view bytes) {
  return read<wire::AcceptorSlot>(bytes,
                                  [](const wire::AcceptorSlot& in) { return std::optional(from(in)); });
}

std::string written(const Owned& owned) {
  FlatBufferBuilder b(256);
  const auto owner = b.CreateString(owned.owner);
  const consensus::ReplicaMetadata& s = owned.standing;
  const auto lives = numbers(b, s.known_incarnations), founders = numbers(b, s.bootstrap_incarnations);
  b.Finish(wire::CreateReplicaMetadata(b, kFrameVersion, owner, owned.keepers, s.incarnation, s.is_voting,
                                       lives, founders));
  return bytes_of(b);
}

std::optional<Owned> read_owned(std::string_view bytes) {
  return read<wire::ReplicaMetadata>(bytes, [](const wire::ReplicaMetadata& in) -> std::optional<Owned> {
    if (in.version() != kFrameVersion || !in.owner()) return {};
    return Owned{
        {in.life(), in.full(), from(in.lives()), from(in.founders())}, in.owner()->str(), in.keepers()};
  });
}

uint64_t hash_of(const std::vector<std::string>& keepers) {
  uint64_t h = 0xcbf29ce484222325ull;
  for (const std::string& keeper : keepers) {
    for (const char c : keeper) h = (h ^ static_cast<uint8_t>(c)) * 0x100000001b3ull;
    h = (h ^ 0xff) * 0x100000001b3ull;
  }
  return h;
}

}  // namespace firvalve::cluster
