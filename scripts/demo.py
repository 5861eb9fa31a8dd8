"""Demo of a complete deployment of separate processes, from a first prompt to a planned stop."""

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


def first_messages() -> list[dict]:
    """Return a first prompt with a repair manual and many photos."""
    manual = "\n".join(
        f"Section {number}. " + "Check the buckle. " * 130 for number in range(MANUAL_SECTIONS)
    )
    parts: list[dict] = [{"type": "text", "text": manual}]
    for number in range(PHOTOS):
        url = f"data:image/jpeg;base64,{number:04d}" + "A" * 200_000
        parts.append({"type": "image_url", "image_url": {"url": url}})
    parts.append({"type": "text", "text": "Which parts does this pack need?"})
    return [{"role": "user", "content": parts}]


def print_step(text: str) -> None:
    """Print a progress message."""
    print(f"demo: {text}", flush=True)


def follow_up(messages: list[dict], answer: Answer) -> list[dict]:
    """Return the conversation extended by the answer and a follow-up question."""
    question = {"role": "user", "content": "And what would the repair cost?"}
    return [*messages, {"role": "assistant", "content": answer.text}, question]


def expect(condition: bool, description: str) -> None:
    """Fail the demo unless a condition holds.

    :raises RuntimeError: the condition does not hold
    """
    if not condition:
        raise RuntimeError(f"demo expected that {description}")


def show_returning(deployment: Deployment) -> dict[str, object]:
    """Show that a follow-up at another entry instance restores evicted blocks from the stores."""
    messages = first_messages()
    first = deployment.caller(0).chat(messages)
    expect(first.is_whole, f"the first answer is complete, not {first}")
    print_step(f"first answer after {first.ttft_ms} ms, {first.prompt_tokens} prompt tokens")
    blocks = first.prompt_tokens // BLOCK_TOKENS
    wait_until(lambda: deployment.stored_blocks() >= blocks, "the blocks are exported")
    print_step(f"{blocks} blocks are in the stores; evicting them from the engines")
    deployment.evict_all()
    returning = follow_up(messages, first)
    second = deployment.caller(3).chat(returning)
    expect(second.is_whole, f"the returning answer is complete, not {second}")
    print_step(
        f"returning answer after {second.ttft_ms} ms, {second.cached_tokens} tokens restored"
    )
    other = deployment.caller(3, BRANDS[1]).chat(returning)
    expect(other.is_whole, f"the other brand's answer is complete, not {other}")
    expect(other.cached_tokens == 0, "another brand does not reuse the first brand's blocks")
    print_step(f"another brand's same prompt is fully recomputed: {other.ttft_ms} ms")
    returning_tokens = blocks * BLOCK_TOKENS
    return {
        "ttft_first_ms": first.ttft_ms,
        "ttft_returning_ms": second.ttft_ms,
        "ttft_recompute_ms": other.ttft_ms,
        "recomputed_share": round(
            1 - min(second.cached_tokens, returning_tokens) / returning_tokens, 4
        ),
        "link_bytes": (blocks + second.cached_tokens // BLOCK_TOKENS)
        * BLOCK_TOKENS
        * BYTES_PER_TOKEN,
    }


def show_booking(deployment: Deployment) -> dict[str, object]:
    """Send a booking through two entry instances with the same idempotency key."""
    body = json.dumps({"courier": "island", "parcel": 7}).encode()
    replies = [
        deployment.caller(entry).request(
            "POST", "/v1/services/booking/pickups", body, Idempotency_Key="pickup-7"
        )
        for entry in (1, 2)
    ]
    expect(replies[0].status == 201, f"the booking is created, not {replies[0]}")
    expect(replies[0].body == replies[1].body, "both callers get the same reply")
    effects = len(deployment.booking.json("GET", "/effects"))
    print_step(f"a booking sent twice had {effects} effect")
    return {"booking_effects": effects}


def show_configuration(deployment: Deployment) -> dict[str, object]:
    """Change the configuration and measure the time until all entry instances apply it."""
    started = time.monotonic()
    revision = deployment.submit(SetDefault("warm_time_ms", 7_200_000))
    count = len(deployment.entries)
    wait_until(
        lambda: all(deployment.status(n)["revision"] >= revision for n in range(count)),
        f"revision {revision} is in force",
    )
    elapsed_ms = round((time.monotonic() - started) * MILLIS_PER_SECOND)
    print_step(f"revision {revision} is in force on {count} entry instances after {elapsed_ms} ms")
    return {"config_in_force_ms": elapsed_ms}


def show_burn(deployment: Deployment) -> dict[str, object]:
    """Write the error budget burn report with the operators' command line."""
    REPORT.parent.mkdir(exist_ok=True)
    command = [sys.executable, "-m", "bergamothill.cli.main", "report", "burn"]
    command += ["--kvs", deployment.kvs.address, "--operator-key", OPERATOR_KEY]
    for entry in deployment.entries:
        command += ["--entry", entry.address]
    completed = subprocess.run(
        [*command, "--html", str(REPORT)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    expect(completed.returncode == 0, f"the report is written, not {completed.stderr}")
    print_step(f"the burn report is in {REPORT.relative_to(ROOT)}")
    return {}


def show_planned_stop(deployment: Deployment) -> dict[str, object]:
    """Show that a planned stop of an entry instance lets an open stream complete."""
    first_token_received = threading.Event()
    answers: list[Answer] = []

    def run_chat() -> None:
        messages = [{"role": "user", "content": "Tell me all about quills."}]
        answers.append(
            deployment.caller(2).chat(
                messages,
                max_tokens=LONG_ANSWER_TOKENS,
                on_event=lambda answer: first_token_received.set() if answer.text else None,
            )
        )

    thread = threading.Thread(target=run_chat)
    thread.start()
    first_token_received.wait(10)
    deployment.entries[2].terminate()
    thread.join()
    code = deployment.entries[2].process.wait(20)
    interrupted = sum(not answer.is_whole for answer in answers)
    expect(
        len(answers) == 1 and code == 0, f"the stopped entry instance exits with code 0, not {code}"
    )
    print_step(
        f"entry-2 stopped mid-stream with exit code {code}; interrupted streams: {interrupted}"
    )
    return {"streams_cut": interrupted}


SHOWS = (show_returning, show_booking, show_configuration, show_burn, show_planned_stop)


def main() -> int:
    """Run the demo and print its line of figures.

    :returns: 0 if all checks passed
    """
    figures: dict[str, object] = {}
    with ProcessGroup() as group:
        try:
            print_step("starting 2 availability zones, 4 entry instances, 4 engines, 2 stores")
            shape = DeploymentShape(engine_options=ENGINE_OPTIONS)
            deployment = Deployment.start(group, shape)
            for show in SHOWS:
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
