#include "schema/declaration_expiry.h"

#include <gtest/gtest.h>

#include "schema/registry_fixture.h"
#include "schema/topic_codec.h"

namespace firvalve::schema {
namespace {

TEST(DeclarationExpiryTest, ADeclarationThatIsNotRenewedInItsLifetimeIsWithdrawn) {
  Registry r(1);
  FakeRegister fact;
  r.submit(propose(with({"cabin"})), kDeadline);
  settle(r, fact);
  Change c = declare("screen", {1}, {1});
  c.declaration.expires_after_ms = 1000;
  const auto sign = [&] {
    r.submit(c, kDeadline);
    return settle(r, fact).applied.after;
  };
  DeclarationExpiry expiry(0);
  expiry.observe(at(100), "cabins", sign());
  EXPECT_TRUE(expiry.due(at(1000)).empty());
  expiry.observe(at(1000), "cabins", sign());  // it has given a sign: its time begins anew
  EXPECT_TRUE(expiry.due(at(1900)).empty());
  const auto due = expiry.due(at(2100));
  ASSERT_EQ(due.size(), 1u);
  EXPECT_TRUE(expiry.due(at(2100)).empty());  // told once
  // A sign that comes before the withdrawal is agreed keeps it.
  Registry keeper(2);
  keeper.submit(due[0], kDeadline);
  for (const consensus::Proposal& w : keeper.take_proposals()) keeper.handle_result(fact.answer(w));
  sign();
  settle(keeper, fact);
  std::string why;
  EXPECT_EQ(decode_topic(fact.fact.value, why)->declarations.size(), 1u);
  // Without one it goes, and what it held up may change.
  expiry.observe(at(3000), "cabins", *decode_topic(fact.fact.value, why));
  keeper.submit(expiry.due(at(4100)).at(0), kDeadline);
  settle(keeper, fact);
  EXPECT_TRUE(decode_topic(fact.fact.value, why)->declarations.empty());
  EXPECT_EQ(expiry.due(at(9000)).size(), 1u);  // as far as it knows
  expiry.observe(at(9000), "cabins", *decode_topic(fact.fact.value, why));
  EXPECT_EQ(expiry.next_due(), std::nullopt);
}

TEST(DeclarationExpiryTest, OneWithoutALifetimeNeverExpires) {
  DeclarationExpiry expiry(0);
  Topic b;
  b.declarations = {{"screen", "", {1}, {1}, {}, false, 0, 1}};
  expiry.observe(at(1), "cabins", b);
  EXPECT_EQ(expiry.next_due(), std::nullopt);
}

}  // namespace
}  // namespace firvalve::schema
