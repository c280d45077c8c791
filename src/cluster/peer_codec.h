// Encodes and decodes the messages between gateways and the stored slots and metadata of a replica
// (peers.fbs). Input is untrusted: every decoding function returns nullopt for invalid bytes and never
// throws.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/acceptor.h"

namespace firvalve::cluster {

constexpr uint16_t kFrameVersion = 1;

struct Frame {
  std::string sender;          // advertised address of the sending gateway
  uint64_t replicas_hash = 0;  // hash of the sender's configured replica list
  std::vector<consensus::Message> messages;
};

// Appends header and body, with the same framing as on client connections.
void append_frame(std::string& out, const Frame& frame);
size_t framed_size(size_t body_bytes);  // in bytes, of a frame including its header
// Returns nullopt and sets `why` to a string literal if the frame is invalid. Skips messages of unknown
// types, which a newer version may send.
std::optional<Frame> read_frame(std::span<const char> body, const char*& why);
// Approximate number of bytes that a message adds to a frame.
size_t estimated_size(const consensus::Message& message);

std::string encode(const consensus::AcceptorSlot& slot);
std::optional<consensus::AcceptorSlot> decode_slot(std::string_view bytes);

struct StoredMetadata {  // metadata with the replica and the replica list that it belongs to
  consensus::ReplicaMetadata metadata;
  std::string owner;           // the replica's name
  uint64_t replicas_hash = 0;  // hash of the replica list at the time of writing
};
std::string encode(const StoredMetadata& stored);
std::optional<StoredMetadata> decode_metadata(std::string_view bytes);

// `replicas` must be sorted: the hash depends on the order.
uint64_t hash_of_replicas(const std::vector<std::string>& replicas);

}  // namespace firvalve::cluster
