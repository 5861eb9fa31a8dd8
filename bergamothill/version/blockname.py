"""Names of a kept block's objects at a store; the commit record is a name, with no content.

``kv/<brand>/<model>/<version>/<key>/<generation>/`` holds the objects of one copy:

- ``data``: the bytes
- ``commit-<size>-<tokens>-<index>-<digest>``: empty; the copy is readable
- ``used``: empty; written again at a restore, so that its age tells the last use
- ``retired``: empty; the copy is about to be deleted

An empty object whose facts are in its name is there or not: no part of it can be visible.
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
NAME_PARTS = 7
DIGEST_LENGTH = 64


@dataclass(frozen=True, slots=True)
class BlockName:
    """One copy of one block at a store.

    :param brand: brand that the block belongs to
    :param model: model that computed it
    :param weight_version: version that computed it
    :param key: block key
    :param generation: name drawn at the write of this copy
    """

    brand: BrandName
    model: ModelName
    weight_version: WeightVersion
    key: str
    generation: Generation

    @property
    def key_prefix(self) -> str:
        """Prefix of the names of all copies of the block."""
        parts = (self.brand, self.model, self.weight_version, self.key)
        return ROOT + "".join(_segment(part) for part in parts)

    @property
    def prefix(self) -> str:
        """Prefix of the names of this copy's objects."""
        return f"{self.key_prefix}{self.generation}/"

    @property
    def data(self) -> str:
        """Name of the bytes."""
        return self.prefix + DATA

    @property
    def used(self) -> str:
        """Name of the object whose age tells the last use."""
        return self.prefix + USED

    @property
    def retired(self) -> str:
        """Name of the retire marker."""
        return self.prefix + RETIRED

    def commit(self, block: BlockRef, index: int) -> str:
        """Name of the commit record.

        :param block: block with the length and digest that were written
        :param index: position of the block in its prompt
        """
        facts = f"{block.size_bytes}-{block.token_count}-{index}-{block.digest}"
        return f"{self.prefix}{COMMIT_PREFIX}{facts}"


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit record of a copy.

    :param name: object name
    :param size_bytes: length of the data
    :param token_count: tokens that the block covers
    :param index: position of the block in the prompt that wrote it
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
    """What a store lists of one copy.

    :param name: the copy
    :param commits: commit records; more than one is no valid copy
    :param data_bytes: visible length of the data; None when there is none
    :param data_age_ms: time since the data's last write
    :param used_age_ms: time since the last use; None when it was never used
    :param retired_age_ms: time since the retire marker; None when there is none
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
        """Tell whether a reader may start on the copy.

        A commit record that landed later than the bound after the data is a delayed write of a
        writer long gone; the copy may be in deletion by then.

        :param write_bound_ms: longest time between the data and its commit record
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
    :param generation: name drawn for the copy
    """
    return BlockName(chain.brand, chain.model, chain.weight_version, key, generation)


def brand_prefix(brand: BrandName) -> str:
    """Return the prefix of the names of a brand's blocks."""
    return ROOT + _segment(brand)


def parse_listing(objects: Iterable[StoredObject]) -> tuple[CopyListing, ...]:
    """Group listed objects by copy; names of another shape are left out.

    :param objects: objects in any order
    :returns: copies in the order of their first object
    """
    groups: dict[BlockName, list[tuple[str, StoredObject]]] = {}
    for item in objects:
        parts = item.name.split("/")
        if len(parts) != NAME_PARTS or not item.name.startswith(ROOT):
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
    return tuple(_copy(name, leaves) for name, leaves in groups.items())


def _segment(part: str) -> str:
    """Quote one part of a name; dots alone would be taken for a relative path."""
    quoted = quote(part, safe="")
    if not quoted.strip("."):
        quoted = quoted.replace(".", "%2E")
    return quoted + "/"


def _copy(name: BlockName, leaves: list[tuple[str, StoredObject]]) -> CopyListing:
    by_leaf = dict(leaves)
    data = by_leaf.get(DATA)
    commits = (_commit(leaf, item) for leaf, item in leaves if leaf.startswith(COMMIT_PREFIX))
    return CopyListing(
        name=name,
        commits=tuple(commit for commit in commits if commit is not None),
        data_bytes=None if data is None else data.size_bytes,
        data_age_ms=0 if data is None else data.age_ms,
        used_age_ms=_age_ms(by_leaf.get(USED)),
        retired_age_ms=_age_ms(by_leaf.get(RETIRED)),
    )


def _age_ms(item: StoredObject | None) -> int | None:
    return None if item is None else item.age_ms


def _commit(leaf: str, item: StoredObject) -> Commit | None:
    facts = leaf.removeprefix(COMMIT_PREFIX).split("-")
    if len(facts) != 4 or len(facts[3]) != DIGEST_LENGTH:
        return None
    try:
        size_bytes, token_count, index = (int(fact) for fact in facts[:3])
    except ValueError:
        return None
    return Commit(item.name, size_bytes, token_count, index, facts[3], item.age_ms)
