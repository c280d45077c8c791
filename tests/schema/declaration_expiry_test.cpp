// Tests when declarations are withdrawn that their subscribers no longer renew.
#include "schema/declaration_expiry.h"

#include <gtest/gtest.h>

#include "schema/registry_fixture.h"
#include "schema/topic_codec.h"

namespace firvalve::schema {
namespace {

TEST(DeclarationExpiryTest, DeclarationIsWithdrawnWhenItIsNotRenewedWithinItsLifetime) {
  Registry registry(1);
  FakeRegister fake_register;
  registry.submit(make_proposal(make_text_schema({"cabin"})), kDeadline);
  run_to_result(registry, fake_register);
  Change change = make_declaration("screen", {1}, {1});
  change.declaration.expires_after_ms = 1000;
  const auto declare = [&] {
    registry.submit(change, kDeadline);
    return run_to_result(registry, fake_register).applied.after;
  };
  DeclarationExpiry expiry(0);
  expiry.observe(at(100), "cabins", declare());
  EXPECT_TRUE(expiry.take_due_withdrawals(at(1000)).empty());
  expiry.observe(at(1000), "cabins", declare());  // the renewal restarts its lifetime
  EXPECT_TRUE(expiry.take_due_withdrawals(at(1900)).empty());
  const auto withdrawals = expiry.take_due_withdrawals(at(2100));
  ASSERT_EQ(withdrawals.size(), 1u);
  EXPECT_TRUE(expiry.take_due_withdrawals(at(2100)).empty());  // returned once
  // A renewal that is committed before the withdrawal keeps the declaration.
  Registry replica(2);
  replica.submit(withdrawals[0], kDeadline);
  for (const consensus::Proposal& proposal : replica.take_proposals())
    replica.handle_result(fake_register.answer(proposal));
  declare();
  run_to_result(replica, fake_register);
  std::string error;
  EXPECT_EQ(decode_topic(fake_register.current.value, error)->declarations.size(), 1u);
  // Without a renewal the declaration is removed.
  expiry.observe(at(3000), "cabins", *decode_topic(fake_register.current.value, error));
  replica.submit(expiry.take_due_withdrawals(at(4100)).at(0), kDeadline);
  run_to_result(replica, fake_register);
  EXPECT_TRUE(decode_topic(fake_register.current.value, error)->declarations.empty());
  EXPECT_EQ(expiry.take_due_withdrawals(at(9000)).size(), 1u);  // it has not observed the removal
  expiry.observe(at(9000), "cabins", *decode_topic(fake_register.current.value, error));
  EXPECT_EQ(expiry.next_due(), std::nullopt);
}

TEST(DeclarationExpiryTest, DeclarationWithoutLifetimeNeverExpires) {
  DeclarationExpiry expiry(0);
  Topic topic;
  topic.declarations = {{"screen", "", {1}, {1}, {}, false, 0, 1}};
  expiry.observe(at(1), "cabins", topic);
  EXPECT_EQ(expiry.next_due(), std::nullopt);
}

}  // namespace
}  // namespace firvalve::schema
