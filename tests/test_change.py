import unittest

from bergamothill.errors import ConflictError, InvalidRequestError, NotFoundError
from bergamothill.version.applychanges import apply_changes
from bergamothill.version.change import (
    CHANGE_KINDS,
    AddAdapter,
    AddBrand,
    AddKey,
    AddModel,
    AddService,
    AllowAdapter,
    AllowModel,
    AllowService,
    Change,
    DisallowModel,
    FinishRollout,
    RemoveException,
    RemoveKey,
    RemoveModel,
    RemoveService,
    SetDefault,
    SetException,
    SetWeightTarget,
    items_touched,
)
from bergamothill.version.config import Configuration, Limits
from bergamothill.version.plain import from_plain, to_plain

DIGEST = "ab" * 32
BASE_CHANGES = (
    AddModel("guide", "v1"),
    AddAdapter("guide", "warranty"),
    AddService("booking", frozenset({"GET"})),
    AddBrand("acme"),
    AddBrand("other"),
    AllowModel("acme", "guide"),
)


class ApplyTests(unittest.TestCase):
    def setUp(self):
        self.configuration = apply_changes(Configuration(), BASE_CHANGES)

    def apply(self, *changes):
        return apply_changes(self.configuration, changes)

    def test_permissions_of_a_brand(self):
        after = self.apply(
            AllowAdapter("acme", "guide", "warranty"),
            AllowService("acme", "booking"),
            AddKey("acme", DIGEST),
        )
        brand = after.brands["acme"]
        self.assertEqual(brand.adapters, {"guide:warranty"})
        self.assertEqual(brand.services, {"booking"})
        self.assertEqual(brand.key_digests, {DIGEST})
        self.assertEqual(self.configuration.brands["acme"].key_digests, frozenset())

    def test_disallowing_a_model_disallows_its_adapters(self):
        after = self.apply(
            AllowAdapter("acme", "guide", "warranty"), DisallowModel("acme", "guide")
        )
        self.assertEqual(after.brands["acme"].adapters, frozenset())

    def test_key_belongs_to_one_brand_only(self):
        with self.assertRaises(ConflictError):
            self.apply(AddKey("acme", DIGEST), AddKey("other", DIGEST))
        after = self.apply(
            AddKey("acme", DIGEST), RemoveKey("acme", DIGEST), AddKey("other", DIGEST)
        )
        self.assertEqual(after.brands["other"].key_digests, {DIGEST})

    def test_exception_requires_a_reason(self):
        with self.assertRaises(InvalidRequestError):
            self.apply(SetException("acme", "warm_time_ms", 5, "  "))
        after = self.apply(SetException("acme", "warm_time_ms", 5, "short trips"))
        self.assertEqual(after.value_for("acme", "warm_time_ms"), 5)
        self.assertEqual(after.value_for("other", "warm_time_ms"), 86_400_000)
        back = apply_changes(after, (RemoveException("acme", "warm_time_ms"),))
        self.assertEqual(back.value_for("acme", "warm_time_ms"), 86_400_000)

    def test_exception_inherits_omitted_parts_from_the_default(self):
        after = self.apply(
            SetDefault("limits.burst", 7),
            SetException("acme", "limits", {"concurrent": 3}, "pilot"),
        )
        self.assertEqual(
            after.value_for("acme", "limits"), Limits(requests_per_s=100.0, burst=7, concurrent=3)
        )

    def test_malformed_values_are_refused(self):
        for change in (
            SetDefault("warm_time_ms", -1),
            SetDefault("warm_time_ms", "long"),
            SetDefault("warm_time_ms", True),
            SetDefault("limits.unknown", 1),
            SetDefault("nothing", 1),
            SetDefault("concurrent_weight_loads", 0),
            SetException("acme", "concurrent_weight_loads", 3, "why not"),
            AddBrand("a/b"),
            AddKey("acme", "no digest"),
            AddModel("m", ""),
        ):
            with self.subTest(change=change), self.assertRaises(InvalidRequestError):
                self.apply(change)

    def test_conflicting_additions_and_removals_are_refused(self):
        for change in (RemoveModel("guide"), AddBrand("acme"), AddModel("guide", "v2")):
            with self.subTest(change=change), self.assertRaises(ConflictError):
                self.apply(change)
        self.assertNotIn("booking", self.apply(RemoveService("booking")).services)

    def test_unknown_objects_are_refused(self):
        for change in (AllowModel("acme", "x"), AllowModel("x", "guide"), RemoveService("x")):
            with self.subTest(change=change), self.assertRaises(NotFoundError):
                self.apply(change)

    def test_rollout_finishes_only_at_its_target(self):
        after = self.apply(SetWeightTarget("guide", "v2"))
        self.assertEqual(
            (after.models["guide"].current, after.models["guide"].target), ("v1", "v2")
        )
        with self.assertRaises(ConflictError):
            apply_changes(after, (FinishRollout("guide", "v3"),))
        done = apply_changes(after, (FinishRollout("guide", "v2"),))
        self.assertEqual(done.models["guide"].current, "v2")


class ChangeKindTests(unittest.TestCase):
    def test_each_kind_declares_its_items(self):
        for kind, cls in CHANGE_KINDS.items():
            with self.subTest(kind=kind):
                self.assertEqual(cls.kind, kind)
                self.assertIsNot(items_touched.dispatch(cls), items_touched.dispatch(Change))

    def test_plain_round_trip(self):
        change = AddService("booking", frozenset({"PUT", "GET"}))
        plain = to_plain(change)
        self.assertEqual(plain["repeatable_methods"], ["GET", "PUT"])
        self.assertEqual(from_plain(AddService, plain), change)

    def test_error_lists_unknown_and_missing_fields(self):
        with self.assertRaisesRegex(InvalidRequestError, "unknown fields .'x'.*missing.*'brand'"):
            from_plain(AddBrand, {"x": 1})
