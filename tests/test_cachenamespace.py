"""Tests of the names under which context is cached, and of what they tell about it."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.version.cachenamespace import namespace, version_of
from bergamothill.version.homes import RegionMap
from bergamothill.version.routetable import Brand

names = st.text("ab1~,!%é ", min_size=1, max_size=4)
versions = st.integers(1, 12)
regions = st.frozensets(names, max_size=2)
requests = st.tuples(names, versions, st.none() | names, regions)


def name_of(request):
    """Return the namespace of a request with a model, a version, an isolated brand and homes."""
    model, version, brand, homes = request
    isolated = None if brand is None else Brand(brand, is_isolated=True)
    separate = RegionMap(regions={"zone-a": "elsewhere"}).namespace_of(homes) if homes else ""
    return namespace(model, version, isolated, separate)


class NamespaceTest(unittest.TestCase):
    @given(requests, requests)
    def test_different_requests_never_get_one_name(self, one, other):
        # WALL, STALE: names were joined with a character that they may contain themselves, so that
        # brand "x~eu" had the name of brand "x" with home region "eu".
        self.assertEqual(one == other, name_of(one) == name_of(other))

    def test_a_separator_in_a_name_does_not_make_it_another_one(self):
        isolated = Brand("x", is_isolated=True)
        joined = Brand("x~eu", is_isolated=True)
        self.assertNotEqual(namespace("m", 1, joined), namespace("m", 1, isolated, "eu"))
        self.assertNotEqual(namespace("m~1", 2, None), namespace("m", 1, Brand("2", None, True)))

    @given(requests)
    def test_the_version_can_be_told_from_any_name(self, request):
        model, version, *_ = request
        self.assertEqual(version, version_of(name_of(request), model))
        self.assertIsNone(version_of(name_of(request), model + "b"))

    @given(requests)
    def test_a_name_fits_into_a_header_field(self, request):
        name = name_of(request)
        self.assertTrue(name.isascii() and name.isprintable() and " " not in name, name)
