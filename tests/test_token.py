import unittest

from bergamothill.clock import ManualClock
from bergamothill.errors import InvalidRequestError, NotFoundError
from bergamothill.request.token import TOKEN_LIFE_MS, StreamToken, StreamTokens

SECRET = "a secret of some length"


def make_token(clock, brand="kowhai"):
    return StreamToken(brand, "e1", "s1", "r1", "m", "v1", clock.wall_ms())


class StreamTokensTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.tokens = StreamTokens(SECRET, self.clock)

    def test_any_instance_with_the_secret_reads_it(self):
        token = make_token(self.clock)
        text = self.tokens.sign(token)
        self.assertEqual(token, StreamTokens(SECRET, self.clock).check(text, "kowhai"))

    def test_another_brands_token_does_not_exist(self):
        text = self.tokens.sign(make_token(self.clock))
        with self.assertRaises(NotFoundError):
            self.tokens.check(text, "association")

    def test_every_changed_character_is_refused(self):
        text = self.tokens.sign(make_token(self.clock))
        for index, character in enumerate(text[:-1]):
            forged = text[:index] + ("A" if character != "A" else "B") + text[index + 1 :]
            with self.assertRaises(InvalidRequestError):
                self.tokens.check(forged, "kowhai")

    def test_malformed_tokens_are_refused(self):
        for text in ("", "a", "é", "." * 5_000, "AAAA" * 20):
            with self.assertRaises(InvalidRequestError):
                self.tokens.check(text, "kowhai")

    def test_an_old_token_does_not_exist(self):
        text = self.tokens.sign(make_token(self.clock))
        self.clock.advance_ms(TOKEN_LIFE_MS + 1)
        with self.assertRaises(NotFoundError):
            self.tokens.check(text, "kowhai")
