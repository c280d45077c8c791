// Messages between gateways as bytes, and a keeper's slots as they lie on disk. Garbage gives none, never
// more.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/acceptor.h"

namespace firvalve::cluster {

constexpr uint16_t kFrameVersion = 1;
constexpr size_t kFrameMost = 4 * 1024 * 1024;  // bytes of a frame's body
constexpr size_t kFrameWanted = 128 * 1024;  // a frame that has grown past it is sent before more is put in

struct Frame {
  std::string from;      // the address that the sender is reached at
  uint64_t keepers = 0;  // hash of the list of keepers that it goes by
  std::vector<consensus::Message> parts;
};

// Head and body, as on the front that clients use.
void append_frame(std::string& out, const Frame& frame);
size_t framed_size(size_t body);  // bytes of a frame with its head
// None: `why` says so. Parts that a newer program says are passed over.
std::optional<Frame> read_frame(std::span<const char> body, const char*& why);
// Roughly what a message adds to a frame.
size_t size_of(const consensus::Message& m);

std::string written(const consensus::AcceptorSlot& slot);
std::optional<consensus::AcceptorSlot> read_slot(std::string_view bytes);

struct Owned {  // a standing with whose it is
  consensus::ReplicaMetadata standing;
  std::string owner;
  uint64_t keepers = 0;
};
std::string written(const Owned& owned);
std::optional<Owned> read_owned(std::string_view bytes);

uint64_t hash_of(const std::vector<std::string>& keepers);

}  // namespace firvalve::cluster
