#include "lease/lease_record.h"

#include <cmath>

#include "lease_record_generated.h"

namespace firvalve::lease {

std::string written(const LeaseRecord& claim) {
  flatbuffers::FlatBufferBuilder b(128);
  const auto holder = b.CreateString(claim.holder);
  const auto state = b.CreateVector(reinterpret_cast<const uint8_t*>(claim.state.data()), claim.state.size());
  wire::LeaseRecordBuilder out(b);
  out.add_epoch(claim.epoch);
  out.add_holder(holder);
  out.add_life(claim.life);
  out.add_lease_us(static_cast<uint64_t>(std::llround(claim.lease * 1000)));
  out.add_released(claim.released);
  out.add_state(state);
  b.Finish(out.Finish());
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}

std::optional<LeaseRecord> read_claim(std::string_view bytes) {
  const auto* const data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::LeaseRecord>()) return {};
  const auto* const in = flatbuffers::GetRoot<wire::LeaseRecord>(data);
  LeaseRecord claim;
  claim.epoch = in->epoch();
  if (in->holder()) claim.holder = in->holder()->str();
  claim.life = in->life();
  claim.lease = static_cast<double>(in->lease_us()) / 1000;
  claim.released = in->released();
  if (in->state()) claim.state.assign(in->state()->begin(), in->state()->end());
  if (claim.epoch == 0) return {};
  return claim;
}

}  // namespace firvalve::lease
