"""Least store of the proofs: a freed place is reused, a put shows a part, old states come back."""

from dataclasses import dataclass, field

from bergamothill.connection.store import StoredObject


@dataclass(slots=True, eq=False)
class Place:
    """Where an object's bytes are; the owner is empty while the place is free."""

    owner: str = ""
    content: bytes = b""
    written_ms: int = 0
    deletions: int = 0
    lost: bool = False


@dataclass(slots=True)
class LeastStore:
    objects: dict[str, Place] = field(default_factory=dict)
    free: list[Place] = field(default_factory=list)
    full: bool = False
    snapshot: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    def open(self, name, now_ms):
        """Begin an object, in a freed place where there is one."""
        self._release(name)
        place = self.free.pop() if self.free else Place()
        place.owner, place.content, place.written_ms = name, b"", now_ms
        self.objects[name] = place
        return place

    def fill(self, place, name, content, now_ms):
        """Show more of an object that is being written, if the place is still its own."""
        if place.owner == name:
            place.content, place.written_ms = content, now_ms

    def put(self, name, content, now_ms):
        """Write a whole object; False when there is no room."""
        if self.full:
            return False
        self.fill(self.open(name, now_ms), name, content, now_ms)
        return True

    def delete(self, name):
        """Free an object; its bytes stay at the place until another object takes it."""
        place = self._release(name)
        if place is not None:
            place.deletions += 1

    def _release(self, name):
        place = self.objects.pop(name, None)
        if place is not None:
            place.owner = ""
            self.free.append(place)
        return place

    def list(self, prefix, now_ms):
        return [
            StoredObject(name, len(place.content), now_ms - place.written_ms)
            for name, place in self.objects.items()
            if name.startswith(prefix)
        ]

    def take_snapshot(self):
        self.snapshot = {n: (p.content, p.written_ms) for n, p in self.objects.items()}

    def die(self, *, keep_snapshot):
        """Come back empty, or with the state of the snapshot; every old place is lost."""
        for place in self.objects.values():
            place.lost = True
        self.objects.clear()
        self.free.clear()
        if keep_snapshot:
            for name, (content, written_ms) in self.snapshot.items():
                self.objects[name] = Place(name, content, written_ms)
