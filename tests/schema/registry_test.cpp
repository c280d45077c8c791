// Tests the registry: changes are committed by consensus and checked again after a conflict.
#include "schema/registry.h"

#include <gtest/gtest.h>

#include "base/injected_bug.h"
#include "consensus/digest.h"
#include "schema/registry_fixture.h"
#include "schema/topic_codec.h"
#include "simulation/explore.h"

namespace firvalve::schema {
namespace {

using Kind = Registry::Result::Kind;

TEST(RegistryTest, VersionsAndDeclarationsAreCheckedAgainstEarlierOnes) {
  Registry registry(1);
  FakeRegister fake_register;
  registry.submit(make_proposal(make_text_schema({"cabin", "beds"})), kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).applied.version, 1u);
  registry.submit(make_declaration("screen", {1}, {1, 2}), kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).kind, Kind::kAgreed);
  registry.submit(make_proposal(make_text_schema({"cabin"})), kDeadline);
  const Registry::Result rejected = run_to_result(registry, fake_register);
  EXPECT_EQ(rejected.kind, Kind::kRejected);
  EXPECT_EQ(rejected.applied.verdict.violations.at(0).readers.at(0).subscriber, "screen");
  registry.submit(make_proposal(make_text_schema({"cabin", "beds", "view"})), kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).applied.version, 2u);
  registry.submit(make_proposal(make_text_schema({"cabin", "beds", "view"})),
                  kDeadline);  // a retry gives the same version
  EXPECT_EQ(run_to_result(registry, fake_register).applied.version, 2u);
  EXPECT_EQ(fake_register.current.version, 3u);
  Change retire = make_proposal({});
  retire.kind = Change::Kind::kRetire;
  retire.version = 1;
  registry.submit(retire, kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).kind, Kind::kRejected);
  registry.submit(make_declaration("screen", {2}, {1, 2}), kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).kind, Kind::kAgreed);
  registry.submit(retire, kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).kind, Kind::kAgreed);
}

TEST(RegistryTest, ProposalIsCheckedAgainAfterAConcurrentDeclaration) {
  Registry publisher(1), screen(2);
  FakeRegister fake_register;
  publisher.submit(make_proposal(make_text_schema({"cabin", "beds"})), kDeadline);
  run_to_result(publisher, fake_register);
  publisher.submit(make_proposal(make_text_schema({"cabin"})), kDeadline);
  for (const consensus::Proposal& proposal : publisher.take_proposals())
    publisher.handle_result(
        fake_register.answer(proposal));  // the proposal is read and checked, but not committed yet
  screen.submit(make_declaration("screen", {1}, {2}), kDeadline);
  EXPECT_EQ(run_to_result(screen, fake_register).kind, Kind::kAgreed);
  EXPECT_EQ(run_to_result(publisher, fake_register).kind, Kind::kRejected);
}

TEST(RegistryTest, UnreadableTopicIsNotOverwritten) {
  Registry registry(1);
  FakeRegister fake_register;
  fake_register.current = {3, 77, {}, "not a bulletin", false};
  registry.submit(make_proposal(make_text_schema({"cabin"})), kDeadline);
  EXPECT_EQ(run_to_result(registry, fake_register).kind, Kind::kUnreadable);
  EXPECT_EQ(fake_register.current.change_id, 77u);
}

// A state of simulation::explore() for three concurrent changes: a proposal that removes a field, a
// declaration that reads it, and another proposal. Their reads and commits happen in every order.
class ConcurrentChanges {
 public:
  struct Move {
    size_t actor = 0;
  };
  ConcurrentChanges() {
    for (uint64_t i = 0; i < 3; ++i) registries_.emplace_back(i + 1);
    Registry first(9);
    first.submit(make_proposal(make_text_schema({"cabin", "beds"})), kDeadline);
    run_to_result(first, register_);
    registries_[0].submit(make_proposal(make_text_schema({"cabin"})), kDeadline);
    registries_[1].submit(make_declaration("screen", {1}, {2}), kDeadline);
    registries_[2].submit(make_proposal(make_text_schema({"cabin", "beds", "view"})), kDeadline);
    for (Registry& registry : registries_) proposals_.push_back(registry.take_proposals());
  }
  std::vector<Move> moves() const {
    std::vector<Move> out;
    for (size_t i = 0; i < 3; ++i)
      if (!proposals_[i].empty()) out.push_back({i});
    return out;
  }
  void apply(const Move& move) {
    const consensus::Proposal proposal = proposals_[move.actor].front();
    proposals_[move.actor].clear();
    registries_[move.actor].handle_result(register_.answer(proposal));
    proposals_[move.actor] = registries_[move.actor].take_proposals();
    registries_[move.actor].take_results();
  }
  std::string describe(const Move& move) const {
    static const char* const kActors[] = {"the proposal without beds", "the declaration of beds",
                                          "the other proposal"};
    return std::string(kActors[move.actor]) +
           (proposals_[move.actor].front().id == 0 ? " reads" : " is committed");
  }
  std::string digest() const {
    consensus::Digest digest;
    digest.add(register_.current);
    for (const auto& proposals : proposals_)
      for (const consensus::Proposal& proposal : proposals)
        digest.add(proposal.id).add(proposal.expected_change).add(proposal.value);
    return digest.text();
  }
  // Every live version has the fields that the declared subscribers read.
  std::optional<std::string> find_violation() const {
    std::string error;
    const auto topic = decode_topic(register_.current.value, error);
    if (!topic) return "the topic cannot be decoded: " + error;
    for (const Declaration& declaration : topic->declarations)
      for (const Version& version : topic->versions)
        for (const uint32_t field : declaration.reads)
          if (version.state == State::kLive && !version.schema.find(field))
            return "version " + std::to_string(version.number) + " lacks a field that " +
                   declaration.subscriber + " reads";
    return {};
  }

 private:
  std::vector<Registry> registries_;
  std::vector<std::vector<consensus::Proposal>> proposals_;
  FakeRegister register_;
};

TEST(RegistryExplore, NoOrderOfConcurrentChangesBreaksADeclaration) {
  const simulation::SearchResult out = simulation::explore(ConcurrentChanges(), 100000);
  std::printf("%zu states, search complete\n", out.states);
  EXPECT_TRUE(out.is_complete);
  EXPECT_FALSE(out.violation) << *out.violation;
}

// With the injected bug, a change is not checked again after a conflict; the search must find the violation.
TEST(RegistryExplore, CommitWithoutASecondCheckIsDetected) {
  injected_bug = InjectedBug::kCheckStaleDeclarations;
  const simulation::SearchResult out = simulation::explore(ConcurrentChanges(), 100000);
  injected_bug = InjectedBug::kNone;
  ASSERT_TRUE(out.violation);
  for (const std::string& line : out.trace) std::printf("  %s\n", line.c_str());
}

}  // namespace
}  // namespace firvalve::schema
