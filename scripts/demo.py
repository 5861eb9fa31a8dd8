"""Demo: a whole deployment as processes, from a first prompt to a planned stop."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time

from bergamothill.version.change import SetDefault
from scripts.caller import Answer
from scripts.deployment import BRANDS, OPERATOR_KEY, Deployment, DeploymentShape, wait_until
from scripts.processes import ROOT, ProcessGroup

REPORT = ROOT / "out" / "burn.html"
MANUAL_SECTIONS = 24
PHOTOS = 8
BLOCK_TOKENS = 2_048
LONG_ANSWER_TOKENS = 150
MILLIS_PER_SECOND = 1_000
BYTES_PER_TOKEN = 1_000
ENGINE_OPTIONS = ("--prefill-tokens-per-s", "16000", "--link-bytes-per-s", "150000000")


def conversation() -> list[dict]:
    """Return a photo-heavy first question against a repair manual."""
    manual = "\n".join(
        f"Section {number}. " + "Check the buckle. " * 130 for number in range(MANUAL_SECTIONS)
    )
    parts: list[dict] = [{"type": "text", "text": manual}]
    for number in range(PHOTOS):
        url = f"data:image/jpeg;base64,{number:04d}" + "A" * 200_000
        parts.append({"type": "image_url", "image_url": {"url": url}})
    parts.append({"type": "text", "text": "Which parts does this pack need?"})
    return [{"role": "user", "content": parts}]


def step(text: str) -> None:
    """Tell what happens now."""
    print(f"demo: {text}", flush=True)


def follow_up(messages: list[dict], answer: Answer) -> list[dict]:
    """Return the conversation with its answer and one more question."""
    asked = {"role": "user", "content": "And what would the repair cost?"}
    return [*messages, {"role": "assistant", "content": answer.text}, asked]


def expect(condition: bool, what: str) -> None:
    """Fail the demo unless something holds.

    :raises RuntimeError: it does not hold
    """
    if not condition:
        raise RuntimeError(f"demo expected that {what}")


def show_returning(deployment: Deployment) -> dict[str, object]:
    """Show a prompt, its export and eviction, and its return through another entry instance."""
    messages = conversation()
    first = deployment.caller(0).chat(messages)
    expect(first.is_whole, f"the first answer is whole, not {first}")
    step(f"first answer after {first.ttft_ms} ms, {first.prompt_tokens} prompt tokens")
    blocks = first.prompt_tokens // BLOCK_TOKENS
    wait_until(lambda: deployment.stored_blocks() >= blocks, "the blocks are exported")
    step(f"{blocks} blocks are at the stores; the engines forget theirs")
    deployment.evict_all()
    returning = follow_up(messages, first)
    second = deployment.caller(3).chat(returning)
    expect(second.is_whole, f"the returning answer is whole, not {second}")
    step(f"returning answer after {second.ttft_ms} ms, {second.cached_tokens} tokens restored")
    other = deployment.caller(3, BRANDS[1]).chat(returning)
    expect(other.is_whole, f"the other brand's answer is whole, not {other}")
    expect(other.cached_tokens == 0, "another brand finds nothing of the first one's")
    step(f"another brand's same prompt recomputes everything: {other.ttft_ms} ms")
    known = blocks * BLOCK_TOKENS
    return {
        "ttft_first_ms": first.ttft_ms,
        "ttft_returning_ms": second.ttft_ms,
        "ttft_recompute_ms": other.ttft_ms,
        "recomputed_share": round(1 - min(second.cached_tokens, known) / known, 4),
        "link_bytes": (blocks + second.cached_tokens // BLOCK_TOKENS)
        * BLOCK_TOKENS
        * BYTES_PER_TOKEN,
    }


def show_booking(deployment: Deployment) -> dict[str, object]:
    """Send a booking twice, through two entry instances, with one idempotency key."""
    body = json.dumps({"courier": "island", "parcel": 7}).encode()
    replies = [
        deployment.caller(entry).request(
            "POST", "/v1/services/booking/pickups", body, Idempotency_Key="pickup-7"
        )
        for entry in (1, 2)
    ]
    expect(replies[0].status == 201, f"the booking is taken, not {replies[0]}")
    expect(replies[0].body == replies[1].body, "both callers get the same reply")
    effects = len(deployment.booking.json("GET", "/effects"))
    step(f"a booking sent twice had {effects} effect")
    return {"booking_effects": effects}


def show_configuration(deployment: Deployment) -> dict[str, object]:
    """Change the configuration, timed until every entry instance has it in force."""
    started = time.monotonic()
    revision = deployment.submit(SetDefault("warm_time_ms", 7_200_000))
    count = len(deployment.entries)
    wait_until(
        lambda: all(deployment.status(n)["revision"] >= revision for n in range(count)),
        f"revision {revision} is in force",
    )
    elapsed_ms = round((time.monotonic() - started) * MILLIS_PER_SECOND)
    step(f"revision {revision} is in force on {count} entry instances after {elapsed_ms} ms")
    return {"config_in_force_ms": elapsed_ms}


def show_burn(deployment: Deployment) -> dict[str, object]:
    """Write the report on service-level burn, as the operators' command line does."""
    REPORT.parent.mkdir(exist_ok=True)
    command = [sys.executable, "-m", "bergamothill.cli.main", "report", "burn"]
    command += ["--kvs", deployment.kvs.address, "--operator-key", OPERATOR_KEY]
    for entry in deployment.entries:
        command += ["--entry", entry.address]
    done = subprocess.run(
        [*command, "--html", str(REPORT)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    expect(done.returncode == 0, f"the report is written, not {done.stderr}")
    step(f"the burn report is in {REPORT.relative_to(ROOT)}")
    return {}


def show_planned_stop(deployment: Deployment) -> dict[str, object]:
    """Stop an entry instance in mid-stream; the stream ends whole."""
    begun = threading.Event()
    answers: list[Answer] = []

    def ask() -> None:
        messages = [{"role": "user", "content": "Tell me all about quills."}]
        answers.append(
            deployment.caller(2).chat(
                messages,
                max_tokens=LONG_ANSWER_TOKENS,
                on_event=lambda answer: begun.set() if answer.text else None,
            )
        )

    thread = threading.Thread(target=ask)
    thread.start()
    begun.wait(10)
    deployment.entries[2].terminate()
    thread.join()
    code = deployment.entries[2].process.wait(20)
    cut = sum(not answer.is_whole for answer in answers)
    expect(len(answers) == 1 and code == 0, f"the stopped entry ended well, not {code}")
    step(f"entry-2 stopped in mid-stream with exit code {code}; streams cut: {cut}")
    return {"streams_cut": cut}


SHOWS = (show_returning, show_booking, show_configuration, show_burn, show_planned_stop)


def main() -> int:
    """Run the demo and print its one line of figures.

    :returns: 0 when everything held
    """
    figures: dict[str, object] = {}
    with ProcessGroup() as group:
        try:
            step("starting 2 availability zones, 4 entry instances, 4 engines, 2 stores")
            shape = DeploymentShape(engine_options=ENGINE_OPTIONS)
            deployment = Deployment.start(group, shape)
            for show in (
                show_returning,
                show_booking,
                show_configuration,
                show_burn,
                show_planned_stop,
            ):
                figures.update(show(deployment))
        except Exception as error:
            for path in sorted(group.folder.glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-3000:]}", file=sys.stderr)
            print(f"demo ok=false reason={error}")
            raise
    order = (
        "ttft_first_ms",
        "ttft_returning_ms",
        "ttft_recompute_ms",
        "recomputed_share",
        "link_bytes",
        "booking_effects",
        "config_in_force_ms",
        "streams_cut",
    )
    ok = figures["booking_effects"] == 1 and figures["streams_cut"] == 0
    pairs = " ".join(f"{name}={figures[name]}" for name in order)
    print(f"demo ok={str(ok).lower()} {pairs}")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
