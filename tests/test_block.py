import unittest

from bergamothill.errors import InvalidRequestError
from bergamothill.version.block import chain_blocks

SMALL_BLOCK_TOKENS = 16


def chain(messages, *, brand="b", model="m", adapter="", version="v1"):
    return chain_blocks(brand, model, adapter, version, messages, SMALL_BLOCK_TOKENS)


def user(text):
    return {"role": "user", "content": text}


def image(url):
    return {
        "role": "user",
        "content": [
            {"type": "text", "text": "see"},
            {"type": "image_url", "image_url": {"url": url}},
        ],
    }


class ChainBlocksTests(unittest.TestCase):
    def test_continued_conversation_shares_earlier_blocks(self):
        first = [image("data:,x"), user("what is this? " * 40)]
        answer = {"role": "assistant", "content": "a buckle " * 30}
        before = chain(first)
        after = chain([*first, answer, user("and now?")])
        self.assertGreater(len(before.keys), 2)
        self.assertEqual(after.keys[: len(before.keys)], before.keys)
        self.assertGreater(len(after.keys), len(before.keys))

    def test_blocks_cover_the_prompt_except_its_tail(self):
        blocks = chain([user("x" * 1000)])
        tail_tokens = blocks.prompt_tokens - sum(blocks.token_counts)
        self.assertTrue(0 <= tail_tokens < SMALL_BLOCK_TOKENS)

    def test_keys_differ_across_brands_models_adapters_and_versions(self):
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

    def test_edit_changes_all_later_keys(self):
        one = chain([user("a" * 500), user("b" * 500)])
        other = chain([user("a" * 500), user("c" + "b" * 499)])
        shared = [a == b for a, b in zip(one.keys, other.keys, strict=True)]
        self.assertEqual(shared, sorted(shared, reverse=True))
        self.assertTrue(shared[0])
        self.assertFalse(shared[-1])

    def test_different_images_have_different_keys(self):
        self.assertNotEqual(chain([image("data:,x")]).keys, chain([image("data:,y")]).keys)

    def test_url_and_options_of_an_image_are_told_apart(self):
        def keys(image_url):
            part = {"type": "image_url", "image_url": image_url}
            return chain([{"role": "user", "content": [part]}])

        with_options = keys({"url": "a", "detail": "low"})
        self.assertNotEqual(with_options, keys({"url": 'a{"detail": "low"}'}))

    def test_message_boundaries_are_encoded(self):
        joined = chain([user("ab")]).prompt_tokens
        split = chain([user("a"), user("b")]).prompt_tokens
        self.assertNotEqual(joined, split)

    def test_malformed_messages_are_refused(self):
        for message in ("text", user(5), user([5]), user([{"type": "sound"}])):
            with self.subTest(message=message), self.assertRaises(InvalidRequestError):
                chain([message])
