"""Benchmark of one entry instance: overhead to first token, open streams, idle control traffic."""

from __future__ import annotations

import os
import statistics
import sys
import threading
import time
import uuid
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from bergamothill.connection.engine import EventKind, InferenceRun, StreamEvent
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.ids import (
    AdapterName,
    BrandName,
    ModelName,
    RequestId,
    StreamId,
    WeightVersion,
)
from bergamothill.version.change import SetDefault
from scripts.caller import Caller
from scripts.deployment import MODEL, VERSION, Deployment, DeploymentShape, bearer_key, wait_until
from scripts.processes import ProcessGroup

OVERHEAD_SAMPLES = 200
STREAMS = 200
STREAMS_PER_PROCESS = 50
TOKENS_PER_STREAM = 300
TOKENS_PER_S = 20
WARM_UP_S = 4.0
WINDOW_S = 8.0
IDLE_S = 10.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1_024
IDLE_TIMEOUT_MS = 10_000
LOAN_LIFETIME_S = 6.0
DECODE_MS = 1_000 // TOKENS_PER_S
ENGINE_OPTIONS = (
    "--prefill-tokens-per-s",
    "100000000",
    "--decode-ms",
    str(DECODE_MS),
    "--answer-tokens",
    str(TOKENS_PER_STREAM),
)
MESSAGES = [{"role": "user", "content": "Which jack fits?"}]


def cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB
    raise RuntimeError(f"no resident memory size for process {pid}")


def direct_ttft_ms(engine: HttpModelEngine) -> float:
    """Return the time to first token of one run sent directly to an engine."""
    run = InferenceRun(
        request_id=RequestId("bench"),
        stream_id=StreamId(uuid.uuid4().hex),
        brand=BrandName("kowhai"),
        model=ModelName(MODEL),
        adapter=AdapterName(""),
        weight_version=WeightVersion(VERSION),
        messages=tuple(MESSAGES),
        block_keys=(),
        prompt_tokens=10,
        max_tokens=1,
        deadline_ms=10_000,
    )
    first_token_times: list[float] = []
    started = time.perf_counter()

    def record_first_token(event: StreamEvent) -> None:
        if event.kind is EventKind.TOKEN and not first_token_times:
            first_token_times.append(time.perf_counter())

    engine.run(run, record_first_token, idle_timeout_ms=IDLE_TIMEOUT_MS)
    return (first_token_times[0] - started) * 1_000


def entry_ttft_ms(caller: Caller) -> float:
    """Return the time to first token of one request through an entry instance."""
    first_token_times: list[float] = []
    started = time.perf_counter()

    def record_first_token(answer: object) -> None:
        if answer.text and not first_token_times:
            first_token_times.append(time.perf_counter())

    caller.chat(MESSAGES, max_tokens=1, on_event=record_first_token)
    return (first_token_times[0] - started) * 1_000


def measure_overhead(deployment: Deployment) -> dict[str, object]:
    """Compare requests through an entry instance with runs sent directly to an engine."""
    engine = HttpModelEngine(HttpClient("engine", deployment.engines[0].address))
    caller = deployment.caller(0)
    direct: list[float] = []
    via_entry: list[float] = []
    for _ in range(OVERHEAD_SAMPLES):
        direct.append(direct_ttft_ms(engine))
        via_entry.append(entry_ttft_ms(caller))
    median = statistics.median(direct)
    overheads = sorted(sample - median for sample in via_entry)
    return {
        "overhead_p50_ms": round(statistics.median(overheads), 2),
        "overhead_p99_ms": round(overheads[int(len(overheads) * 0.99)], 2),
    }


def run_streams(address: str, count: int) -> int:
    """Run concurrent streams in one load process; return how many completed."""
    completed: list[bool] = []

    def run_stream() -> None:
        answer = Caller(address, bearer_key("kowhai")).chat(MESSAGES, max_tokens=TOKENS_PER_STREAM)
        completed.append(answer.is_whole)

    threads = [threading.Thread(target=run_stream) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(completed)


def measure_open_streams(deployment: Deployment) -> dict[str, object]:
    """Measure one entry instance with many open streams, after a warm-up."""
    entry = deployment.entries[0]
    workers = STREAMS // STREAMS_PER_PROCESS
    # Spawned, because a forked process would inherit the stream hub without its thread.
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        futures = [
            pool.submit(run_streams, entry.address, STREAMS_PER_PROCESS) for _ in range(workers)
        ]
        time.sleep(WARM_UP_S)
        before = cpu_seconds(entry.pid)
        started = time.monotonic()
        time.sleep(WINDOW_S)
        share = (cpu_seconds(entry.pid) - before) / (time.monotonic() - started)
        memory = rss_mb(entry.pid)
        in_progress = deployment.status(0)["in_progress"]
        completed = sum(future.result() for future in futures)
    if completed != STREAMS:
        raise RuntimeError(f"only {completed} of {STREAMS} streams completed")
    return {
        "streams": in_progress,
        "rss_mb": round(memory, 1),
        "cpu_share": round(share, 3),
    }


def measure_idle(deployment: Deployment) -> dict[str, object]:
    """Measure the CPU time and bytes that an idle entry instance spends on control traffic."""
    entry = deployment.entries[1]
    bytes_before = deployment.status(1)["control_bytes"]
    cpu_before = cpu_seconds(entry.pid)
    started = time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - started
    cpu_share = (cpu_seconds(entry.pid) - cpu_before) / elapsed
    sent = deployment.status(1)["control_bytes"] - bytes_before
    return {
        "idle_control_cpu_share": round(cpu_share, 4),
        "idle_control_bytes_s": round(sent / elapsed),
    }


def main() -> int:
    """Run the benchmark and print its line of figures."""
    figures: dict[str, object] = {}
    with ProcessGroup() as group:
        deployment = Deployment.start(group, DeploymentShape(engine_options=ENGINE_OPTIONS))
        revision = deployment.submit(
            SetDefault("limits.requests_per_s", 10_000.0), SetDefault("limits.concurrent", 10_000)
        )
        wait_until(lambda: deployment.status(0)["revision"] >= revision, "the limits are raised")
        time.sleep(LOAN_LIFETIME_S)
        for measure in (measure_overhead, measure_open_streams, measure_idle):
            figures.update(measure(deployment))
    print("bench " + " ".join(f"{name}={value}" for name, value in figures.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
