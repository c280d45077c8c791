#include "cluster/peer_codec.h"

#include <fmt/format.h>

#include <cstring>
#include <iterator>

#include "peers_generated.h"

namespace firvalve::cluster {

namespace {

using consensus::Message;
using consensus::MessageType;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Empty vectors and default registers and ballots are omitted from the buffer. The order in which the parts
// are created determines the encoded bytes and must not change.

wire::Ballot encode(const consensus::Ballot& ballot) { return {ballot.number, ballot.proposer_id}; }
consensus::Ballot decode(const wire::Ballot* ballot) {
  return ballot ? consensus::Ballot{ballot->number(), ballot->proposer_id()} : consensus::Ballot{};
}

Offset<flatbuffers::Vector<uint64_t>> encode(FlatBufferBuilder& builder,
                                             const std::vector<uint64_t>& numbers) {
  return numbers.empty() ? 0 : builder.CreateVector(numbers);
}
std::vector<uint64_t> decode(const flatbuffers::Vector<uint64_t>* numbers) {
  return numbers ? std::vector<uint64_t>(numbers->begin(), numbers->end()) : std::vector<uint64_t>();
}

Offset<wire::Register> encode(FlatBufferBuilder& builder, const consensus::Register& state) {
  if (state == consensus::Register{}) return 0;
  const auto earlier_changes = encode(builder, state.earlier_changes);
  const auto value =
      builder.CreateVector(reinterpret_cast<const uint8_t*>(state.value.data()), state.value.size());
  return wire::CreateRegister(builder, state.version, state.change_id, earlier_changes, value,
                              state.is_urgent);
}
consensus::Register decode(const wire::Register* state) {
  if (!state) return {};
  consensus::Register out{
      state->version(), state->change_id(), decode(state->earlier_changes()), {}, state->is_urgent()};
  if (state->value()) out.value.assign(state->value()->begin(), state->value()->end());
  return out;
}

Offset<wire::AcceptorSlot> encode(FlatBufferBuilder& builder, const std::string& key,
                                  const consensus::AcceptorSlot& slot) {
  const auto name = builder.CreateString(key);
  const auto accepted = encode(builder, slot.accepted);
  const wire::Ballot promised_ballot = encode(slot.promised_ballot),
                     accepted_ballot = encode(slot.accepted_ballot);
  return wire::CreateAcceptorSlot(builder, name, &promised_ballot, &accepted_ballot, accepted);
}
consensus::AcceptorSlot decode(const wire::AcceptorSlot& slot) {
  return {decode(slot.promised_ballot()), decode(slot.accepted_ballot()), decode(slot.accepted())};
}

Offset<wire::Message> encode(FlatBufferBuilder& builder, const Message& message) {
  const auto key = message.key.empty() ? 0 : builder.CreateString(message.key);
  const auto register_state = encode(builder, message.register_state);
  const auto known_incarnations = encode(builder, message.known_incarnations),
             bootstrap_incarnations = encode(builder, message.bootstrap_incarnations);
  std::vector<Offset<wire::AcceptorSlot>> slots;
  for (const auto& [name, slot] : message.entries) slots.push_back(encode(builder, name, slot));
  const auto entries = slots.empty() ? 0 : builder.CreateVector(slots);
  const wire::Ballot ballot = encode(message.ballot), accepted_ballot = encode(message.accepted_ballot);
  wire::MessageBuilder out(builder);
  out.add_request_id(message.request_id);
  out.add_incarnation(message.incarnation);
  out.add_since(message.since);
  if (message.ballot != consensus::Ballot{}) out.add_ballot(&ballot);
  if (message.accepted_ballot != consensus::Ballot{}) out.add_accepted_ballot(&accepted_ballot);
  out.add_key(key);
  out.add_register_state(register_state);
  out.add_known_incarnations(known_incarnations);
  out.add_bootstrap_incarnations(bootstrap_incarnations);
  out.add_entries(entries);
  out.add_type(static_cast<uint8_t>(message.type));
  out.add_is_voting_or_out_of_space(message.is_voting || message.is_out_of_space);
  out.add_has_more(message.has_more);
  return out.Finish();
}
Message decode(const wire::Message& message) {
  Message out;
  out.type = static_cast<MessageType>(message.type());
  out.request_id = message.request_id();
  if (message.key()) out.key = message.key()->str();
  out.ballot = decode(message.ballot());
  out.accepted_ballot = decode(message.accepted_ballot());
  out.register_state = decode(message.register_state());
  out.incarnation = message.incarnation();
  out.known_incarnations = decode(message.known_incarnations());
  out.bootstrap_incarnations = decode(message.bootstrap_incarnations());
  out.since = message.since();
  (out.type == MessageType::kRejected ? out.is_out_of_space : out.is_voting) =
      message.is_voting_or_out_of_space();
  out.has_more = message.has_more();
  if (message.entries())
    for (const wire::AcceptorSlot* const slot : *message.entries())
      if (slot->key()) out.entries.emplace_back(slot->key()->str(), decode(*slot));
  return out;
}

// A newer version may send types that this one does not know.
bool is_known_type(uint8_t type) { return type >= 1 && type <= static_cast<uint8_t>(MessageType::kState); }

std::string bytes_of(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// Verifies that the bytes hold a Table and reads it. It reads from an aligned copy, because the numbers in a
// buffer must be aligned in memory.
template <class Table, class Read>
auto read(std::string_view bytes, Read&& read_table) -> decltype(read_table(std::declval<const Table&>())) {
  constexpr size_t kMinBytes = 8;
  if (bytes.size() < kMinBytes) return {};
  std::vector<uint64_t> copy(bytes.size() / sizeof(uint64_t) + 1);
  std::memcpy(copy.data(), bytes.data(), bytes.size());
  const auto* const data = reinterpret_cast<const uint8_t*>(copy.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>()) return {};
  return read_table(*flatbuffers::GetRoot<Table>(data));
}

constexpr auto kFrameHeader = FMT_STRING("Content-Length: {}\r\n\r\n");

}  // namespace

void append_frame(std::string& out, const Frame& frame) {
  FlatBufferBuilder builder(1024);
  std::vector<Offset<wire::Message>> messages;
  for (const Message& message : frame.messages) messages.push_back(encode(builder, message));
  const auto sender = builder.CreateString(frame.sender);
  const auto encoded_messages = builder.CreateVector(messages);
  builder.Finish(wire::CreateFrame(builder, kFrameVersion, sender, frame.replicas_hash, encoded_messages));
  fmt::format_to(std::back_inserter(out), kFrameHeader, builder.GetSize());
  out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

size_t framed_size(size_t body_bytes) { return fmt::formatted_size(kFrameHeader, body_bytes) + body_bytes; }

std::optional<Frame> read_frame(std::span<const char> body, const char*& why) {
  why = "not a frame";
  return read<wire::Frame>({body.data(), body.size()},
                           [&why](const wire::Frame& frame) -> std::optional<Frame> {
                             if (frame.version() != kFrameVersion) {
                               why = "of another version";
                               return {};
                             }
                             if (!frame.sender() || frame.sender()->size() == 0) return {};
                             Frame out;
                             out.sender = frame.sender()->str();
                             out.replicas_hash = frame.replicas_hash();
                             if (!frame.messages()) return out;
                             for (const wire::Message* const message : *frame.messages())
                               if (is_known_type(message->type())) out.messages.push_back(decode(*message));
                             return out;
                           });
}

size_t estimated_size(const Message& message) {
  constexpr size_t kMessageBytes = 64, kEntryBytes = 96;  // without the parts of variable size
  const auto size_of_state = [](const consensus::Register& state) {
    return state.value.size() + sizeof(uint64_t) * state.earlier_changes.size();
  };
  size_t bytes = kMessageBytes + message.key.size() + size_of_state(message.register_state) +
                 sizeof(uint64_t) * message.known_incarnations.size();
  for (const auto& [key, slot] : message.entries)
    bytes += kEntryBytes + key.size() + size_of_state(slot.accepted);
  return bytes;
}

std::string encode(const consensus::AcceptorSlot& slot) {
  FlatBufferBuilder builder(256);
  builder.Finish(encode(builder, "", slot));
  return bytes_of(builder);
}

std::optional<consensus::AcceptorSlot> decode_slot(std::string_view bytes) {
  return read<wire::AcceptorSlot>(bytes,
                                  [](const wire::AcceptorSlot& slot) { return std::optional(decode(slot)); });
}

std::string encode(const StoredMetadata& stored) {
  FlatBufferBuilder builder(256);
  const auto owner = builder.CreateString(stored.owner);
  const consensus::ReplicaMetadata& metadata = stored.metadata;
  const auto known_incarnations = encode(builder, metadata.known_incarnations),
             bootstrap_incarnations = encode(builder, metadata.bootstrap_incarnations);
  builder.Finish(wire::CreateReplicaMetadata(builder, kFrameVersion, owner, stored.replicas_hash,
                                             metadata.incarnation, metadata.is_voting, known_incarnations,
                                             bootstrap_incarnations));
  return bytes_of(builder);
}

std::optional<StoredMetadata> decode_metadata(std::string_view bytes) {
  return read<wire::ReplicaMetadata>(
      bytes, [](const wire::ReplicaMetadata& metadata) -> std::optional<StoredMetadata> {
        if (metadata.version() != kFrameVersion || !metadata.owner()) return {};
        return StoredMetadata{
            {metadata.incarnation(), metadata.is_voting(), decode(metadata.known_incarnations()),
             decode(metadata.bootstrap_incarnations())},
            metadata.owner()->str(),
            metadata.replicas_hash()};
      });
}

// FNV-1a over the names, each terminated by a byte that does not occur in names.
uint64_t hash_of_replicas(const std::vector<std::string>& replicas) {
  constexpr uint64_t kOffset = 0xcbf29ce484222325ull, kPrime = 0x100000001b3ull;
  uint64_t hash = kOffset;
  for (const std::string& replica : replicas) {
    for (const char c : replica) hash = (hash ^ static_cast<uint8_t>(c)) * kPrime;
    hash = (hash ^ 0xff) * kPrime;
  }
  return hash;
}

}  // namespace firvalve::cluster
