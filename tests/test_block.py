import unittest

from bergamothill.errors import InvalidRequestError
from bergamothill.version.block import chain_blocks

SMALL_BLOCK_TOKENS = 16


def chain(messages, *, brand="b", model="m", adapter="", version="v1"):
    return chain_blocks(brand, model, adapter, version, messages, SMALL_BLOCK_TOKENS)


def user(text):
    return {"role": "user", "content": text}


def photo(url):
    return {
        "role": "user",
        "content": [
            {"type": "text", "text": "see"},
            {"type": "image_url", "image_url": {"url": url}},
        ],
    }


class ChainBlocksTests(unittest.TestCase):
    def test_returning_conversation_shares_its_blocks(self):
        first = [photo("data:,x"), user("what is this? " * 40)]
        answer = {"role": "assistant", "content": "a buckle " * 30}
        before = chain(first)
        after = chain([*first, answer, user("and now?")])
        self.assertGreater(len(before.keys), 2)
        self.assertEqual(after.keys[: len(before.keys)], before.keys)
        self.assertGreater(len(after.keys), len(before.keys))

    def test_blocks_cover_the_prompt_but_its_tail(self):
        blocks = chain([user("x" * 1000)])
        tail_tokens = blocks.prompt_tokens - sum(blocks.token_counts)
        self.assertTrue(0 <= tail_tokens < SMALL_BLOCK_TOKENS)

    def test_nothing_is_shared_across_identities(self):
        messages = [user("x" * 1000)]
        chains = [
            chain(messages),
            chain(messages, brand="c"),
            chain(messages, model="n"),
            chain(messages, adapter="a"),
            chain(messages, version="v2"),
            chain(messages, brand="bm", model=""),
        ]
        keys = [key for one in chains for key in one.keys]
        self.assertEqual(len(set(keys)), len(keys))

    def test_a_change_changes_every_later_key(self):
        one = chain([user("a" * 500), user("b" * 500)])
        other = chain([user("a" * 500), user("c" + "b" * 499)])
        shared = [a == b for a, b in zip(one.keys, other.keys, strict=True)]
        self.assertEqual(shared, sorted(shared, reverse=True))
        self.assertTrue(shared[0])
        self.assertFalse(shared[-1])

    def test_photos_of_other_content_differ(self):
        self.assertNotEqual(chain([photo("data:,x")]).keys, chain([photo("data:,y")]).keys)

    def test_field_bytes_cannot_pass_for_text(self):
        joined = chain([user("ab")]).prompt_tokens
        split = chain([user("a"), user("b")]).prompt_tokens
        self.assertNotEqual(joined, split)

    def test_malformed_messages_are_refused(self):
        for message in ("text", user(5), user([5]), user([{"type": "sound"}])):
            with self.subTest(message=message), self.assertRaises(InvalidRequestError):
                chain([message])
