// Tests of Acceptor together with Proposer: voting, compare-and-set, bootstrap, recovery, watching and
// limits.
#include "consensus/acceptor.h"

#include <gtest/gtest.h>

#include "consensus/proposer.h"

namespace firvalve::consensus {
namespace {

constexpr PeerId kClient = 9;

Message prepare(uint64_t number, const std::string& key = "k") {
  Message message;
  message.type = MessageType::kPrepare;
  message.request_id = number;
  message.key = key;
  message.ballot = {number, 7};
  return message;
}

Message accept(uint64_t number, uint64_t change, uint64_t version = 1) {
  Message message = prepare(number);
  message.type = MessageType::kAccept;
  message.register_state.version = version;
  message.register_state.change_id = change;
  message.register_state.value = "v" + std::to_string(change);
  return message;
}

// Three replicas whose messages are delivered by direct calls.
class ConsensusTest : public testing::Test {
 protected:
  ConsensusTest() {
    for (PeerId replica = 0; replica < 3; ++replica)
      replicas_.push_back(empty_replica(replica, 100 + replica));
    run_replicas();
  }
  static Acceptor empty_replica(PeerId self, uint64_t random) {
    AcceptorOptions options;
    options.self = self;
    return Acceptor(options, random);
  }
  // Ticks the replicas every 50 ms and delivers the messages that they send each other.
  void run_replicas(Duration span = 3000ms) {
    for (const BootTime end = now_ + span; now_ < end; now_ += 50ms) {
      for (bool made_progress = true; made_progress;) {
        made_progress = false;
        for (PeerId replica = 0; replica < replicas_.size(); ++replica) {
          if (unreachable_replica_ == replica) continue;
          replicas_[replica].on_tick(now_);
          for (Envelope& envelope : replicas_[replica].take_output().messages) {
            if (envelope.to >= replicas_.size() || unreachable_replica_ == envelope.to) continue;
            replicas_[envelope.to].handle(now_, replica, envelope.message);
            made_progress = true;
          }
        }
      }
    }
  }
  Message response_to(PeerId replica, const Message& request) {
    replicas_[replica].handle(now_, kClient, request);
    const AcceptorOutput output = replicas_[replica].take_output();
    return output.messages.empty() ? Message{} : output.messages.back().message;
  }
  ProposalResult propose(Proposal proposal, const std::vector<PeerId>& reachable = {0, 1, 2}) {
    Proposer proposer({3, ++last_proposer_id_, 1});
    proposal.deadline = now_ + 1000ms;
    proposer.propose(now_, proposal);
    for (;;) {
      for (const Envelope& envelope : proposer.take_messages()) {
        if (std::find(reachable.begin(), reachable.end(), envelope.to) == reachable.end()) continue;
        replicas_[envelope.to].handle(now_, kClient, envelope.message);
        for (const Envelope& response : replicas_[envelope.to].take_output().messages)
          proposer.handle(now_, envelope.to, response.message);
      }
      const auto results = proposer.take_results();
      if (!results.empty()) return results.front();
      now_ += 10ms;
      proposer.on_tick(now_);
    }
  }
  Proposal make_change(uint64_t id, uint64_t expected, const std::string& key = "k") {
    Proposal proposal;
    proposal.id = id;
    proposal.key = key;
    proposal.expected_change = expected;
    proposal.value = std::to_string(id);
    return proposal;
  }
  Proposal make_read(const std::string& key = "k") {
    Proposal proposal;
    proposal.key = key;
    return proposal;
  }

  std::vector<Acceptor> replicas_;
  BootTime now_ = time_point_of<BootClock>(1);
  std::optional<PeerId> unreachable_replica_;
  uint64_t last_proposer_id_ = 40;
};

TEST_F(ConsensusTest, EmptyReplicasBootstrapTogether) {
  for (const Acceptor& replica : replicas_) EXPECT_TRUE(replica.is_voting());
  EXPECT_EQ(replicas_[0].metadata().bootstrap_incarnations, replicas_[2].metadata().bootstrap_incarnations);
}

TEST_F(ConsensusTest, AcceptorRejectsBallotsBelowItsPromise) {
  EXPECT_EQ(response_to(0, prepare(5)).type, MessageType::kPromise);
  EXPECT_EQ(response_to(0, prepare(4)).type, MessageType::kRejected);
  EXPECT_EQ(response_to(0, accept(4, 1)).type, MessageType::kRejected);
  EXPECT_EQ(response_to(0, accept(4, 1)).ballot.number, 5u);
  EXPECT_EQ(response_to(0, accept(5, 1)).type, MessageType::kAccepted);
  EXPECT_EQ(response_to(0, accept(5, 1)).type, MessageType::kAccepted);  // duplicate request
  EXPECT_EQ(response_to(0, prepare(6)).register_state.change_id, 1u);
}

TEST_F(ConsensusTest, CompareAndSetCommitsOnlyOnTheExpectedChange) {
  EXPECT_EQ(propose(make_change(1, 0)).kind, ProposalResult::Kind::kCommitted);
  const ProposalResult second = propose(make_change(2, 0));
  EXPECT_EQ(second.kind, ProposalResult::Kind::kConflict);
  EXPECT_EQ(second.current.change_id, 1u);
  EXPECT_EQ(propose(make_change(3, 1)).current.version, 2u);
  const ProposalResult read = propose(make_read());
  EXPECT_EQ(read.kind, ProposalResult::Kind::kRead);
  EXPECT_EQ(read.current.value, "3");
  EXPECT_EQ(propose(make_read("other")).current.version, 0u);
}

TEST_F(ConsensusTest, RepeatedProposalIsCommittedOnce) {
  EXPECT_EQ(propose(make_change(1, 0)).kind, ProposalResult::Kind::kCommitted);
  EXPECT_EQ(propose(make_change(1, 0)).current.version, 1u);
  EXPECT_EQ(propose(make_change(2, 1)).kind, ProposalResult::Kind::kCommitted);
  const ProposalResult again = propose(make_change(1, 0));  // another change has been committed on top of it
  EXPECT_EQ(again.kind, ProposalResult::Kind::kCommitted);
  EXPECT_EQ(again.current.change_id, 2u);
}

TEST_F(ConsensusTest, ProposalNeedsAMajorityOfReplicas) {
  EXPECT_EQ(propose(make_change(1, 0), {0, 1}).kind, ProposalResult::Kind::kCommitted);
  EXPECT_EQ(propose(make_read(), {1, 2}).current.change_id, 1u);
  EXPECT_EQ(propose(make_change(2, 1), {2}).kind, ProposalResult::Kind::kNoQuorum);
  EXPECT_EQ(propose(make_read()).current.change_id, 1u);
}

TEST_F(ConsensusTest, ReplicaWithoutStorageVotesOnlyAfterRecovery) {
  for (int i = 0; i < 200; ++i)  // more than fit into one page
    ASSERT_EQ(
        propose(make_change(1000u + static_cast<uint64_t>(i), 0, std::string("k").append(std::to_string(i))),
                {0, 1})
            .kind,
        ProposalResult::Kind::kCommitted);
  replicas_[1] = empty_replica(1, 77);
  EXPECT_EQ(response_to(1, prepare(900)).type, Message{}.type);  // no response
  EXPECT_FALSE(replicas_[1].is_voting());
  run_replicas();
  EXPECT_TRUE(replicas_[1].is_voting());
  EXPECT_EQ(replicas_[1].slots().size(), 200u);
  for (int i = 0; i < 200; i += 17)
    EXPECT_EQ(propose(make_read("k" + std::to_string(i)), {1, 2}).current.version, 1u);
  EXPECT_GT(replicas_[0].metadata().known_incarnations[1], Incarnation{77});
}

TEST_F(ConsensusTest, RecoveryNeedsAQuorumOfOtherReplicas) {
  replicas_[1] = empty_replica(1, 77);
  unreachable_replica_ = 2;
  run_replicas();
  EXPECT_FALSE(replicas_[1].is_voting());
  unreachable_replica_.reset();
  run_replicas();
  EXPECT_TRUE(replicas_[1].is_voting());
}

TEST_F(ConsensusTest, ReplicaThatMissedBootstrapResponsesVotesWithoutRecovery) {
  std::vector<Acceptor> empty_replicas;
  for (PeerId replica = 0; replica < 3; ++replica)
    empty_replicas.push_back(empty_replica(replica, 200 + replica));
  replicas_ = std::move(empty_replicas);
  // All three replicas request metadata from each other; the responses to replica 2 are lost.
  for (PeerId replica = 0; replica < 3; ++replica) replicas_[replica].on_tick(now_);
  std::vector<std::pair<PeerId, Envelope>> requests;
  for (PeerId replica = 0; replica < 3; ++replica)
    for (Envelope& envelope : replicas_[replica].take_output().messages)
      requests.emplace_back(replica, envelope);
  for (auto& [from, envelope] : requests) replicas_[envelope.to].handle(now_, from, envelope.message);
  for (PeerId replica = 0; replica < 3; ++replica)
    for (Envelope& envelope : replicas_[replica].take_output().messages)
      if (envelope.to != 2) replicas_[envelope.to].handle(now_, replica, envelope.message);
  EXPECT_TRUE(replicas_[0].is_voting());
  EXPECT_FALSE(replicas_[2].is_voting());
  propose(make_change(1, 0), {0, 1});
  const Incarnation before = replicas_[2].metadata().incarnation;
  run_replicas();
  EXPECT_TRUE(replicas_[2].is_voting());
  EXPECT_EQ(replicas_[2].metadata().incarnation, before);  // it did not recover under a new one
}

TEST_F(ConsensusTest, RestartedReplicaWithStorageVotesAtOnce) {
  propose(make_change(1, 0), {0, 1});
  AcceptorOptions options;
  options.self = 1;
  replicas_[1] = Acceptor(options, replicas_[1].metadata(), replicas_[1].slots());
  EXPECT_TRUE(replicas_[1].is_voting());
  EXPECT_EQ(propose(make_read(), {1, 2}).current.change_id, 1u);
}

TEST_F(ConsensusTest, FailedWritesAreRetriedAndTheirResponsesDropped) {
  replicas_[0].handle(now_, kClient, prepare(5));
  const AcceptorOutput output = replicas_[0].take_output();
  EXPECT_EQ(output.writes.size(), 1u);
  replicas_[0].on_write_failed(output);
  const AcceptorOutput again = replicas_[0].take_output();
  EXPECT_EQ(again.writes.size(), 1u);
  EXPECT_TRUE(again.messages.empty());
}

TEST_F(ConsensusTest, WatchersGetUrgentChangesAtOnceAndOthersBatched) {
  Message watch;
  watch.type = MessageType::kWatch;
  watch.request_id = 1;
  EXPECT_EQ(response_to(0, watch).type, MessageType::kChanges);  // the first request is answered at once
  watch.incarnation = replicas_[0].metadata().incarnation;
  replicas_[0].handle(now_, kClient, watch);
  EXPECT_TRUE(replicas_[0].take_output().messages.empty());
  propose(make_change(1, 0), {0, 1});
  replicas_[0].on_tick(now_);
  EXPECT_TRUE(replicas_[0].take_output().messages.empty());
  replicas_[0].on_tick(now_ + 250ms);
  const AcceptorOutput notified = replicas_[0].take_output();
  ASSERT_EQ(notified.messages.size(), 1u);
  EXPECT_EQ(notified.messages[0].message.entries.size(), 1u);
  watch.since = notified.messages[0].message.since;
  replicas_[0].handle(now_, kClient, watch);
  Proposal urgent = make_change(2, 1);
  urgent.is_urgent = true;
  propose(urgent, {0, 1});
  replicas_[0].on_tick(now_);
  EXPECT_EQ(replicas_[0].take_output().messages.size(), 1u);
}

TEST_F(ConsensusTest, LargeValuesAreFetchedInPagesAndTotalSizeIsLimited) {
  Proposal large;
  for (int i = 0; i < 12; ++i) {
    large = make_change(100 + static_cast<uint64_t>(i), 0, "large" + std::to_string(i));
    large.value.assign(size_t{100} * 1024, 'x');
    ASSERT_EQ(propose(large, {0, 1}).kind, ProposalResult::Kind::kCommitted);
  }
  replicas_[2] = empty_replica(2, 88);
  size_t largest_page = 0;
  for (int tick = 0; tick < 100 && !replicas_[2].is_voting(); ++tick, now_ += 50ms)
    for (PeerId replica = 0; replica < 3; ++replica) {
      replicas_[replica].on_tick(now_);
      for (Envelope& envelope : replicas_[replica].take_output().messages) {
        size_t bytes = 0;
        for (const auto& [key, slot] : envelope.message.entries) bytes += slot.accepted.value.size();
        largest_page = std::max(largest_page, bytes);
        if (envelope.to < 3) replicas_[envelope.to].handle(now_, replica, envelope.message);
      }
    }
  EXPECT_TRUE(replicas_[2].is_voting());
  EXPECT_EQ(replicas_[2].slots().size(), 12u);
  EXPECT_LT(largest_page, 500u * 1024);
  AcceptorOptions options;
  options.replica_count = 1;
  options.max_value_bytes = 1000;
  Acceptor acceptor(options, 5);
  Message message = accept(1, 1);
  message.register_state.value.assign(900, 'x');
  acceptor.handle(now_, kClient, message);
  message.key = "other";
  acceptor.handle(now_, kClient, message);
  const AcceptorOutput output = acceptor.take_output();
  EXPECT_EQ(output.messages[0].message.type, MessageType::kAccepted);
  EXPECT_EQ(output.messages[1].message.type, MessageType::kRejected);
  EXPECT_TRUE(output.messages[1].message.is_out_of_space);
}

// Guards against long values that leave no space for leases and started jobs.
TEST_F(ConsensusTest, LargeGrowthLeavesSpaceForSmallGrowth) {
  AcceptorOptions options;
  options.replica_count = 1;
  options.max_value_bytes = 4 * kMaxSmallGrowthBytes;
  Acceptor acceptor(options, 5);
  const auto is_accepted = [&](const char* key, size_t value_bytes) {
    Message message = accept(1, 1);
    message.key = key;
    message.register_state.value.assign(value_bytes, 'x');
    acceptor.handle(now_, kClient, message);
    return acceptor.take_output().messages.back().message.type == MessageType::kAccepted;
  };
  EXPECT_FALSE(is_accepted("a", 3 * kMaxSmallGrowthBytes + 1));
  EXPECT_TRUE(is_accepted("a", 3 * kMaxSmallGrowthBytes));
  EXPECT_FALSE(is_accepted("b", kMaxSmallGrowthBytes + 1));
  EXPECT_TRUE(is_accepted("b", kMaxSmallGrowthBytes));
  EXPECT_FALSE(is_accepted("c", 1));
}

// Guards against a proposer that cannot tell a lack of space, which lasts, from a lack of replicas.
TEST_F(ConsensusTest, ProposalForWhichAQuorumHasNoSpaceEndsAsOutOfSpace) {
  Proposal change = make_change(1, 0);
  change.value.assign(kMaxValueBytes + 1, 'x');
  ProposalResult result = propose(change);
  EXPECT_EQ(result.kind, ProposalResult::Kind::kUnknown);
  EXPECT_TRUE(result.is_out_of_space);
  result = propose(make_change(2, 0), {0});
  EXPECT_EQ(result.kind, ProposalResult::Kind::kNoQuorum);
  EXPECT_FALSE(result.is_out_of_space);
}

TEST_F(ConsensusTest, NumberOfRegistersIsLimited) {
  AcceptorOptions options;
  options.self = 0;
  options.replica_count = 1;
  options.max_registers = 2;
  Acceptor acceptor(options, 5);
  for (const char* key : {"a", "b", "c"}) acceptor.handle(now_, kClient, prepare(1, key));
  const AcceptorOutput output = acceptor.take_output();
  EXPECT_EQ(output.messages[1].message.type, MessageType::kPromise);
  EXPECT_EQ(output.messages[2].message.type, MessageType::kRejected);
  EXPECT_TRUE(output.messages[2].message.is_out_of_space);
}

}  // namespace
}  // namespace firvalve::consensus
