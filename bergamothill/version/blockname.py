"""Object names of cached blocks at a store.

The objects of one copy of a block share the prefix
``kv/<brand>/<model>/<version>/<key>/<generation>/``:

- ``data``: the bytes of the block
- ``commit-<size>-<tokens>-<index>-<digest>``: empty commit record that makes the copy readable
- ``used``: empty object, rewritten on each restore, so that its age is the time since the last use
- ``retired``: empty object; marks the copy for deletion

The commit record carries its data in its name because an empty object is either listed or not, and
so can never be partially visible.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote, unquote

from bergamothill.connection.engine import BlockRef
from bergamothill.connection.store import StoredObject
from bergamothill.ids import BrandName, Generation, ModelName, WeightVersion
from bergamothill.version.block import BlockChain

__all__ = [
    "ROOT",
    "BlockName",
    "Commit",
    "CopyListing",
    "brand_prefix",
    "name_copy",
    "parse_listing",
]

ROOT = "kv/"
DATA = "data"
USED = "used"
RETIRED = "retired"
COMMIT_PREFIX = "commit-"
SEGMENT_COUNT = 7
DIGEST_LENGTH = 64


@dataclass(frozen=True, slots=True)
class BlockName:
    """One copy of one block at a store.

    :param brand: brand that the block belongs to
    :param model: model that computed it
    :param weight_version: weight version that computed it
    :param key: block key
    :param generation: unique id generated when this copy was written
    """

    brand: BrandName
    model: ModelName
    weight_version: WeightVersion
    key: str
    generation: Generation

    @property
    def key_prefix(self) -> str:
        """Name prefix of all copies of the block."""
        parts = (self.brand, self.model, self.weight_version, self.key)
        return ROOT + "".join(_quote_segment(part) for part in parts)

    @property
    def prefix(self) -> str:
        """Name prefix of the objects of this copy."""
        return f"{self.key_prefix}{self.generation}/"

    @property
    def data(self) -> str:
        """Name of the data object."""
        return self.prefix + DATA

    @property
    def used(self) -> str:
        """Name of the object whose age is the time since the last use."""
        return self.prefix + USED

    @property
    def retired(self) -> str:
        """Name of the retire marker."""
        return self.prefix + RETIRED

    def commit(self, block: BlockRef, index: int) -> str:
        """Return the name of the commit record.

        :param block: reference with the length and digest of the written data
        :param index: position of the block in its prompt
        """
        commit_fields = f"{block.size_bytes}-{block.token_count}-{index}-{block.digest}"
        return f"{self.prefix}{COMMIT_PREFIX}{commit_fields}"


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit record of a copy.

    :param name: object name
    :param size_bytes: length of the data
    :param token_count: number of tokens in the block
    :param index: position of the block in the prompt that it was written for
    :param digest: hexadecimal SHA-256 of the data
    :param age_ms: time since the commit, in milliseconds
    """

    name: str
    size_bytes: int
    token_count: int
    index: int
    digest: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class CopyListing:
    """Listed objects of one copy.

    :param name: name of the copy
    :param commits: commit records; a copy with more than one is invalid
    :param data_bytes: visible length of the data; None without a data object
    :param data_age_ms: time since the last write of the data, in milliseconds
    :param used_age_ms: time since the last use, in milliseconds; None when it was never used
    :param retired_age_ms: time since it was marked for deletion, in milliseconds; None when it is
        not marked
    """

    name: BlockName
    commits: tuple[Commit, ...] = ()
    data_bytes: int | None = None
    data_age_ms: int = 0
    used_age_ms: int | None = None
    retired_age_ms: int | None = None

    @property
    def block(self) -> BlockRef:
        """Reference to the committed data."""
        commit = self.commits[0]
        return BlockRef(
            key=self.name.key,
            generation=self.name.generation,
            size_bytes=commit.size_bytes,
            digest=commit.digest,
            token_count=commit.token_count,
        )

    def is_readable(self, write_bound_ms: int) -> bool:
        """Return whether a reader may start reading the copy.

        A commit record written later than the bound allows is the delayed request of a writer that
        gave up long ago; the deletion of the copy may already have begun.

        :param write_bound_ms: maximum time between the data and its commit record, in milliseconds
        """
        if self.retired_age_ms is not None or len(self.commits) != 1:
            return False
        commit = self.commits[0]
        if self.data_bytes != commit.size_bytes:
            return False
        return self.data_age_ms - commit.age_ms < write_bound_ms


def name_copy(chain: BlockChain, key: str, generation: Generation) -> BlockName:
    """Return the name of a copy of one block of a prompt.

    :param chain: blocks of the prompt
    :param key: key of the block
    :param generation: unique id of the copy
    """
    return BlockName(chain.brand, chain.model, chain.weight_version, key, generation)


def brand_prefix(brand: BrandName) -> str:
    """Return the name prefix of a brand's blocks."""
    return ROOT + _quote_segment(brand)


def parse_listing(objects: Iterable[StoredObject]) -> tuple[CopyListing, ...]:
    """Group listed objects by copy; objects with other names are ignored.

    :param objects: listed objects in any order
    :returns: copies in the order of their first object
    """
    groups: dict[BlockName, list[tuple[str, StoredObject]]] = {}
    for item in objects:
        parts = item.name.split("/")
        if len(parts) != SEGMENT_COUNT or not item.name.startswith(ROOT):
            continue
        _, brand, model, version, key, generation, leaf = parts
        name = BlockName(
            BrandName(unquote(brand)),
            ModelName(unquote(model)),
            WeightVersion(unquote(version)),
            unquote(key),
            Generation(generation),
        )
        groups.setdefault(name, []).append((leaf, item))
    return tuple(_build_listing(name, leaves) for name, leaves in groups.items())


def _quote_segment(part: str) -> str:
    """Quote one segment of a name; dots alone would be a relative path."""
    quoted = quote(part, safe="")
    if not quoted.strip("."):
        quoted = quoted.replace(".", "%2E")
    return quoted + "/"


def _build_listing(name: BlockName, leaves: list[tuple[str, StoredObject]]) -> CopyListing:
    by_leaf = dict(leaves)
    data = by_leaf.get(DATA)
    commits = (_parse_commit(leaf, item) for leaf, item in leaves if leaf.startswith(COMMIT_PREFIX))
    return CopyListing(
        name=name,
        commits=tuple(commit for commit in commits if commit is not None),
        data_bytes=None if data is None else data.size_bytes,
        data_age_ms=0 if data is None else data.age_ms,
        used_age_ms=_object_age_ms(by_leaf.get(USED)),
        retired_age_ms=_object_age_ms(by_leaf.get(RETIRED)),
    )


def _object_age_ms(item: StoredObject | None) -> int | None:
    return None if item is None else item.age_ms


def _parse_commit(leaf: str, item: StoredObject) -> Commit | None:
    commit_fields = leaf.removeprefix(COMMIT_PREFIX).split("-")
    if len(commit_fields) != 4 or len(commit_fields[3]) != DIGEST_LENGTH:
        return None
    try:
        size_bytes, token_count, index = (int(commit_field) for commit_field in commit_fields[:3])
    except ValueError:
        return None
    return Commit(item.name, size_bytes, token_count, index, commit_fields[3], item.age_ms)
