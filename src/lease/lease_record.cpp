#include "lease/lease_record.h"

#include <cmath>

#include "lease_record_generated.h"

namespace firvalve::lease {

std::string encode(const LeaseRecord& record) {
  flatbuffers::FlatBufferBuilder builder(128);
  const auto holder = builder.CreateString(record.holder);
  const auto state =
      builder.CreateVector(reinterpret_cast<const uint8_t*>(record.state.data()), record.state.size());
  wire::LeaseRecordBuilder out(builder);
  out.add_epoch(record.epoch);
  out.add_holder(holder);
  out.add_incarnation(record.incarnation);
  out.add_duration_us(static_cast<uint64_t>(std::llround(to_ms(record.duration) * 1000)));
  out.add_released(record.is_released);
  out.add_state(state);
  builder.Finish(out.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<LeaseRecord> decode_lease_record(std::string_view bytes) {
  const auto* const data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::LeaseRecord>()) return {};
  const auto* const in = flatbuffers::GetRoot<wire::LeaseRecord>(data);
  if (in->epoch() == 0) return {};
  LeaseRecord record;
  record.epoch = in->epoch();
  if (in->holder()) record.holder = in->holder()->str();
  record.incarnation = in->incarnation();
  record.duration = duration_of(static_cast<double>(in->duration_us()) / 1000);
  record.is_released = in->released();
  if (in->state()) record.state.assign(in->state()->begin(), in->state()->end());
  return record;
}

}  // namespace firvalve::lease
