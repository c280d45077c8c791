// Whatever a peer says and whatever lies in a keeper's folder or under a name in the record: it is read or
// refused.
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "duty/claim.h"
#include "duty/merges.h"
#include "fleet/node.h"
#include "fleet/wire.h"
#include "schema/registry.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace firvalve;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const char* why = "";
  if (const auto frame = fleet::read_frame({text.data(), text.size()}, why)) {
    // What could be read is heard by a keeper, as a keeper's word and as anybody's.
    fleet::NodeTerms terms;
    fleet::Node node(1, terms);
    for (const record::Message& m : frame->parts) {
      node.hear(1, 1, m);
      node.hear(2, 9, m);
    }
    node.due(5000);
    node.take();
  }
  fleet::read_slot(text);
  fleet::read_owned(text);
  duty::read_claim(text);
  duty::read_merge(text);
  std::string told;
  if (const auto bulletin = schema::read_bulletin(text, told)) schema::written(*bulletin);
  if (const auto change = schema::read_change(text, told)) schema::apply({}, *change);
  return 0;
}
