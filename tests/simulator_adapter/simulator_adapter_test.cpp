// Batches of simulator events in, decisions out.
#include "simulator_adapter/simulator_adapter.h"

#include "core/settings.h"
#include "policy/helpers.h"

namespace firvalve::simulator {
namespace {

const std::string kStart =
    R"({"START":{"gateway_id":1,"salt":7,"settings":{"peers_total":1,"ceilings":{"try_limit":3},)"
    R"("profiles":[{"name":"quick","semantics":"idempotent","slo":800000000,"credit":1.0}],)"
    R"("shapes":["std"],"specifics":{"cores_by_kind":[8],"class_threads":[1]}}}})";
const std::string kList =
    R"({"MANIFEST":{"ref":0,"members":[{"engine":9,"generation_hw":"std","lifecycle":1}]}})";
const std::string kAccept =
    R"({"ACCEPT":{"gateway_id":1,"job":"86a18bdc5d3a91c4","class":"quick","valid_until":5000000000}})";

std::string batch(const std::string& events) { return R"({"wall":1000000000,"happened":[)" + events + "]}"; }

TEST(Wire, EmptyBatchGivesNoDecisions) {
  SimulatorAdapter adapter;
  EXPECT_EQ(adapter.handle_batch(batch("")), R"({"decisions":[]})");
}

TEST(Wire, AcceptIsRelayedToTheListedEngine) {
  SimulatorAdapter adapter;
  const std::string update = R"({"UPDATE":{"gateway_id":1,"ref":0,"generation":1,"how":4}})";
  const std::string reply = adapter.handle_batch(batch(kStart + "," + kList + "," + update + "," + kAccept));
  EXPECT_NE(reply.find(R"({"RELAY":{"gateway_id":1,"job":"86a18bdc5d3a91c4","engine":9}})"),
            std::string::npos);
}

TEST(Wire, UpdateUsesTheListAsItWasWhenTheUpdateArrived) {
  SimulatorAdapter adapter;
  const std::string update = R"({"UPDATE":{"gateway_id":1,"ref":0,"generation":1,"how":4}})";
  const std::string later = R"({"MANIFEST":{"ref":0,"members":[{"engine":8,"lifecycle":1}]}})";
  const std::string reply =
      adapter.handle_batch(batch(kStart + "," + kList + "," + update + "," + later + "," + kAccept));
  EXPECT_NE(reply.find(R"("engine":9)"), std::string::npos);
}

TEST(Wire, KilledGatewayMakesNoDecisions) {
  SimulatorAdapter adapter;
  const std::string killed = R"({"KILLED":{"gateway_id":1}})";
  EXPECT_EQ(adapter.handle_batch(batch(kStart + "," + kAccept + "," + killed)), R"({"decisions":[]})");
}

TEST(Wire, UnknownEventsAndFieldsAndGatewaysThatAreNotRunningAreIgnored) {
  SimulatorAdapter adapter;
  EXPECT_EQ(adapter.handle_batch(batch(R"({"NEWS":{"x":1}},{"BELL":{"gateway_id":4,"ref":1,"y":2}})")),
            R"({"decisions":[]})");
}

TEST(Wire, CommandOfAnUnknownProfileFailsImmediately) {
  SimulatorAdapter adapter;
  std::string accept = kAccept;
  accept.replace(accept.find("quick"), 5, "other");
  EXPECT_NE(adapter.handle_batch(batch(kStart + "," + accept)).find(R"("FAIL":{"gateway_id":1,"job":"86a1)"),
            std::string::npos);
}

TEST(Wire, ErrorForMalformedInputNamesEventAndField) {
  SimulatorAdapter adapter;
  EXPECT_THROW(adapter.handle_batch(R"({"wall":1,"happ)"), MalformedInput);
  try {
    adapter.handle_batch(batch(R"({"BELL":{"gateway_id":"1","ref":1}})"));
    FAIL();
  } catch (const MalformedInput& error) {
    EXPECT_STREQ(error.what(), "event BELL: field gateway_id is not a whole number");
  }
}

TEST(Wire, SettingsAreConvertedToInternalNamesAndUnits) {
  rapidjson::Document settings;
  settings.Parse(R"({"rules":{"warm_up":13000000000},"shapes":["k"],
    "specifics":{"cores_by_kind":[12]},"profiles":[{"semantics":"deduplicated","allowed_on":["k"]}]})");
  const Settings parsed = parse_settings(settings);
  EXPECT_EQ(std::get<double>(parsed.at("warm-up")), 13000);
  EXPECT_EQ(std::get<double>(parsed.at("cores.k")), 12);
  EXPECT_EQ(std::get<std::string>(parsed.at("profile.0.effect")), "uniqued");
  EXPECT_EQ(std::get<std::string>(parsed.at("profile.0.machine.0")), "k");
}

}  // namespace
}  // namespace firvalve::simulator
