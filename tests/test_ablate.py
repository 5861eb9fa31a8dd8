"""Tests of the source replacements of the ablations."""

import unittest

from scripts.ablate import ABLATIONS, ROOT


class AblateTest(unittest.TestCase):
    def test_each_replaced_text_occurs_exactly_once(self):
        for name, replacements in ABLATIONS.items():
            for replacement in replacements:
                with self.subTest(name):
                    text = (ROOT / replacement.path).read_text()
                    self.assertEqual(1, text.count(replacement.old))

    def test_each_copy_still_compiles(self):
        for name, replacements in ABLATIONS.items():
            texts = {r.path: (ROOT / r.path).read_text() for r in replacements}
            for replacement in replacements:
                path = replacement.path
                texts[path] = texts[path].replace(replacement.old, replacement.new)
            for path, text in texts.items():
                with self.subTest(name):
                    compile(text, path, "exec")
