"""Write a copy of this checkout with one mechanism disabled or replaced by a baseline.

The copies are benchmarked like the checkout itself; the results are in ``docs/POLICY.md``.
"""

from __future__ import annotations

import argparse
import shutil
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
EXCLUDED_PATTERNS = (".git", ".venv", "journal", "__pycache__", ".hypothesis")

SERVER_POOL = "bergamothill/process/serverpool.py"
SERVER_SILENCE = "bergamothill/process/serversilence.py"
SELECTOR = "bergamothill/process/engineselector.py"
PLAN = "bergamothill/request/contextplan.py"
REQUEST_RUN = "bergamothill/process/requestrun.py"
COST_LINE = "        return prefill_ms + plan.fetch_ms + memory_penalty_ms\n"
TARGETS_LINE = '        targets = [""] * len(request.parts)\n'


@dataclass(frozen=True, slots=True)
class Replacement:
    """A source text replacement in one module.

    :param path: module, relative to the root
    :param old: text that occurs exactly once in the module
    :param new: replacement text
    """

    path: str
    old: str
    new: str


ABLATIONS: dict[str, tuple[Replacement, ...]] = {
    "no-fetch": (
        Replacement(
            PLAN,
            "            if is_held:\n                held += part.tokens\n",
            '            source = None\n            sources[number] = ""\n'
            "            if is_held:\n                held += part.tokens\n",
        ),
    ),
    "no-saves": (Replacement(PLAN, TARGETS_LINE, "        return ()\n" + TARGETS_LINE),),
    "no-insurance": (
        Replacement(PLAN, "FALLBACK_SOURCE_FACTOR = 1.0\n", "FALLBACK_SOURCE_FACTOR = 1e9\n"),
    ),
    "no-fetch-delays": (
        Replacement(
            "bergamothill/request/fetchdelay.py",
            "        return min(recent) if len(recent) == SLOW_SAMPLES_NEEDED else 0.0\n",
            "        return 0.0\n",
        ),
    ),
    "no-peer-loads": (
        Replacement(
            "bergamothill/process/loadreport.py",
            "            for loads in self._sources:\n",
            "            for loads in ():\n",
        ),
    ),
    "no-prefill-notices": (
        Replacement(
            "bergamothill/process/prefillexchange.py",
            "        if tokens >= LONG_PROMPT_TOKENS and ",
            "        if False and ",
        ),
    ),
    "no-shared-reads": (
        Replacement(
            "bergamothill/process/zonereaders.py",
            "        return len(self.ranking) > READERS_PER_ZONE\n",
            "        return False\n",
        ),
    ),
    "no-kept-connections": (
        Replacement(
            "bergamothill/request/connectionreuse.py",
            "    return run_count + 1 < ",
            "    return False and run_count + 1 < ",
        ),
    ),
    "no-line": (
        Replacement(
            REQUEST_RUN,
            "        if queue.requests.enqueue(waiting, started_ms, *rates):\n",
            "        if False:\n",
        ),
    ),
    "no-room-check": (
        Replacement(
            SERVER_POOL,
            "        return tokens <= share * traits.memory_tokens\n",
            "        return True\n",
        ),
    ),
    "no-room-by-urgency": (
        Replacement(
            SERVER_POOL, "MEMORY_SHARE_PER_URGENCY = 0.035\n", "MEMORY_SHARE_PER_URGENCY = 0\n"
        ),
    ),
    "no-silence-check": (
        Replacement(
            SERVER_SILENCE,
            "        return silence_ms >= STALL_SILENCE_MS * self._silence_factor(server)\n",
            "        return False\n",
        ),
    ),
    "no-rests": (
        Replacement(
            SERVER_POOL,
            "        awake = [b for b in candidates if b.backoff_until_ms <= now_ms]\n",
            "        awake = candidates\n",
        ),
    ),
    "least-loaded": (
        Replacement(
            SELECTOR, COST_LINE, "        return float(state.in_progress + peer_load.in_progress)\n"
        ),
    ),
    "sticky": (
        Replacement(
            SELECTOR,
            COST_LINE,
            "        session = request.parts[-2].name if len(request.parts) > 1 else request.key\n"
            '        return float(zlib.crc32(f"{session}|{state.entry.server}".encode()))\n',
        ),
        Replacement(
            SELECTOR,
            "from heapq import nsmallest\n",
            "import zlib\nfrom heapq import nsmallest\n",
        ),
    ),
    "random": (
        Replacement(SELECTOR, COST_LINE, "        return random.random()\n"),
        Replacement(
            SELECTOR,
            "from heapq import nsmallest\n",
            "import random\nfrom heapq import nsmallest\n",
        ),
    ),
}
"""Replacements by name; the last three are baselines for the choice of an engine."""


def apply_replacement(replacement: Replacement, root: Path) -> None:
    """Apply a replacement to the copy of a module.

    :raises ValueError: the old text does not occur exactly once
    """
    path = root / replacement.path
    text = path.read_text()
    if text.count(replacement.old) != 1:
        raise ValueError(f"{replacement.path} does not contain exactly once: {replacement.old!r}")
    path.write_text(text.replace(replacement.old, replacement.new))


def main() -> None:
    """Write the copy named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=sorted(ABLATIONS))
    parser.add_argument("target", type=Path, help="directory to write the copy to")
    arguments = parser.parse_args()
    shutil.copytree(ROOT, arguments.target, ignore=shutil.ignore_patterns(*EXCLUDED_PATTERNS))
    for replacement in ABLATIONS[arguments.name]:
        apply_replacement(replacement, arguments.target)


if __name__ == "__main__":
    main()
