import unittest

from bergamothill.errors import InvalidRequestError
from bergamothill.version.applychanges import apply_changes
from bergamothill.version.change import AddBrand, AddKey, RemoveKey, SetWeightTarget
from bergamothill.version.changefile import changes_from_toml, changes_to_plain
from bergamothill.version.config import Configuration

KEY_DIGEST = "ab" * 32

DESIRED_STATE = f"""
[defaults]
warm_time_ms = 1000
[defaults.limits]
burst = 7
[models.guide]
version = "v1"
adapters = ["warranty"]
[services.booking]
repeatable_methods = ["GET"]
[brands.acme]
key_digests = ["{KEY_DIGEST}"]
models = ["guide"]
adapters = ["guide:warranty"]
services = ["booking"]
[brands.acme.exceptions.warm_time_ms]
reason = "hut season"
value = 5
[brands.other]
"""


class DesiredStateTests(unittest.TestCase):
    def setUp(self):
        changes = changes_from_toml(DESIRED_STATE, Configuration())
        self.configuration = apply_changes(Configuration(), changes)

    def changes(self, text):
        return changes_from_toml(text, self.configuration)

    def test_desired_state_is_reached_and_stable(self):
        self.assertEqual(self.configuration.value_for("acme", "warm_time_ms"), 5)
        self.assertEqual(self.configuration.defaults.limits.burst, 7)
        self.assertEqual(self.configuration.brands["acme"].adapters, {"guide:warranty"})
        self.assertEqual(self.changes(DESIRED_STATE), ())

    def test_missing_section_is_ignored_and_empty_section_removes_all(self):
        self.assertEqual(self.changes(""), ())
        removals = self.changes("[brands]\n[models]\n[services]\n")
        after = apply_changes(self.configuration, removals)
        self.assertFalse(after.brands or after.models or after.services)

    def test_key_moves_between_brands(self):
        key = f'key_digests = ["{KEY_DIGEST}"]\n'
        edited = DESIRED_STATE.replace(key, "").replace(
            "[brands.other]\n", "[brands.other]\n" + key
        )
        changes = self.changes(edited)
        self.assertEqual([type(change) for change in changes], [RemoveKey, AddKey])
        after = apply_changes(self.configuration, changes)
        self.assertEqual(after.brands["other"].key_digests, {KEY_DIGEST})

    def test_changed_version_starts_a_rollout(self):
        text = DESIRED_STATE.replace('"v1"', '"v2"')
        self.assertEqual(self.changes(text), (SetWeightTarget("guide", "v2"),))

    def test_invalid_files_are_refused(self):
        for text in ("[nothing]", "= 1", "[brands.acme]\nkeys = []", "[models.x]", "defaults = 1"):
            with self.subTest(text=text), self.assertRaises(InvalidRequestError):
                self.changes(text)


class ChangeListTests(unittest.TestCase):
    def test_changes_are_read_in_order(self):
        text = '[[changes]]\nkind = "add_brand"\nbrand = "acme"\n'
        changes = changes_from_toml(text, Configuration())
        self.assertEqual(changes, (AddBrand("acme"),))
        self.assertEqual(changes_to_plain(changes), [{"kind": "add_brand", "brand": "acme"}])

    def test_unknown_kind_is_refused(self):
        with self.assertRaisesRegex(InvalidRequestError, "add_brand"):
            changes_from_toml('[[changes]]\nkind = "drop_all"\n', Configuration())
