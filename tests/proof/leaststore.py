"""Minimal store of the proofs: reuses freed slots, shows partial writes, can restore old state."""

from dataclasses import dataclass, field

from bergamothill.connection.store import StoredObject


@dataclass(slots=True, eq=False)
class StorageSlot:
    """Storage of one object's bytes; the owner is empty while the slot is free."""

    owner: str = ""
    content: bytes = b""
    written_ms: int = 0
    deletions: int = 0
    lost: bool = False


@dataclass(slots=True)
class MinimalStore:
    objects: dict[str, StorageSlot] = field(default_factory=dict)
    free_slots: list[StorageSlot] = field(default_factory=list)
    full: bool = False
    snapshot: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    def create(self, name, now_ms):
        """Create an object, in a freed slot if there is one."""
        self._release(name)
        slot = self.free_slots.pop() if self.free_slots else StorageSlot()
        slot.owner, slot.content, slot.written_ms = name, b"", now_ms
        self.objects[name] = slot
        return slot

    def write(self, slot, name, content, now_ms):
        """Replace the visible content of an object, if the slot still belongs to it."""
        if slot.owner == name:
            slot.content, slot.written_ms = content, now_ms

    def put(self, name, content, now_ms):
        """Write a whole object; return False if the store is full."""
        if self.full:
            return False
        self.write(self.create(name, now_ms), name, content, now_ms)
        return True

    def delete(self, name):
        """Delete an object; its bytes stay in the slot until another object reuses it."""
        slot = self._release(name)
        if slot is not None:
            slot.deletions += 1

    def _release(self, name):
        slot = self.objects.pop(name, None)
        if slot is not None:
            slot.owner = ""
            self.free_slots.append(slot)
        return slot

    def list(self, prefix, now_ms):
        return [
            StoredObject(name, len(slot.content), now_ms - slot.written_ms)
            for name, slot in self.objects.items()
            if name.startswith(prefix)
        ]

    def take_snapshot(self):
        self.snapshot = {n: (p.content, p.written_ms) for n, p in self.objects.items()}

    def restart(self, *, keep_snapshot):
        """Restart empty or with the state of the snapshot; every old slot is lost."""
        for slot in self.objects.values():
            slot.lost = True
        self.objects.clear()
        self.free_slots.clear()
        if keep_snapshot:
            for name, (content, written_ms) in self.snapshot.items():
                self.objects[name] = StorageSlot(name, content, written_ms)
