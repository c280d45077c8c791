// Messages between gateways as bytes, and a replica's slots and metadata as stored (peers.fbs). Reading never
// fails in another way than by giving none: bytes may come from anywhere.
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
  std::string sender;          // the address by which peers know it
  uint64_t replicas_hash = 0;  // of the list of replicas that it goes by
  std::vector<consensus::Message> messages;
};

// Appends head and body, framed as on connections of clients.
void append_frame(std::string& out, const Frame& frame);
size_t framed_size(size_t body);  // bytes of a frame with its head
// None: `why` says so, a literal. Messages of types that a newer program added are left out.
std::optional<Frame> read_frame(std::span<const char> body, const char*& why);
// Bytes that a message adds to a frame, roughly.
size_t estimated_size(const consensus::Message& m);

std::string encode(const consensus::AcceptorSlot& slot);
std::optional<consensus::AcceptorSlot> decode_slot(std::string_view bytes);

struct OwnedMetadata {  // with whose it is
  consensus::ReplicaMetadata metadata;
  std::string owner;           // the replica's name
  uint64_t replicas_hash = 0;  // of the list that it was written under
};
std::string encode(const OwnedMetadata& owned);
std::optional<OwnedMetadata> decode_metadata(std::string_view bytes);

// Order matters: of the sorted list of names.
uint64_t hash_of_replicas(const std::vector<std::string>& replicas);

}  // namespace firvalve::cluster
