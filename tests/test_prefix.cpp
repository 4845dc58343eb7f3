// Tests of prompt prefixes: chained block hashes and affinity keys.
#include "prefix.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;

TEST_GROUP(Prefix){};

TEST(Prefix, EqualPrefixesGiveEqualLeadingBlocks)
{
    std::string a = "one two three four five six seven eight";
    std::string b = a + " nine ten eleven twelve";
    auto ha = prefix::blockHashes(prefix::tokenize(a), 4);
    auto hb = prefix::blockHashes(prefix::tokenize(b), 4);
    LONGS_EQUAL(2, ha.size());
    LONGS_EQUAL(3, hb.size());
    CHECK(ha[0] == hb[0] && ha[1] == hb[1]);
}

TEST(Prefix, BlockHashDependsOnAllPrecedingTokens)
{
    auto ha = prefix::blockHashes(prefix::tokenize("x two three four a b c d"), 4);
    auto hb = prefix::blockHashes(prefix::tokenize("y two three four a b c d"), 4);
    CHECK(ha[1] != hb[1]);
}

TEST(Prefix, LaterTurnOfConversationHasSameAffinityKeys)
{
    nlohmann::json turn1 =
        nlohmann::json::array({{{"role", "system"}, {"content", "be brief"}}, {{"role", "user"}, {"content", "conversation 5 asks about rent"}}});
    nlohmann::json turn2 = turn1;
    turn2.push_back({{"role", "assistant"}, {"content", "w1 w2"}});
    turn2.push_back({{"role", "user"}, {"content", "and the deposit?"}});
    const auto first = prefix::affinityKeys("ws", turn1);
    const auto second = prefix::affinityKeys("ws", turn2);
    CHECK(first.shared == second.shared);
    CHECK(first.conversation == second.conversation);
    CHECK(prefix::affinityKeys("other", turn1).shared != first.shared);
}
