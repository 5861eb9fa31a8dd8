"""New weights of one model are named where each server holds two models."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from harness import Case, Engine, config, engine_service, run_case, send, spawn, stream_route

ENGINES = 4
VERSION_MS, VERSION_ALL_MS = 6_000, 8_400
PLAY_S = 20
MODELS = {"alpha": 1, "beta": 5}


async def play(case: Case) -> bool:
    """Name new weights of one model, and see which servers have them when the traffic ends."""
    routes = [stream_route("quote", "mend-llm"), stream_route("triage", "mend-llm")]
    services = [engine_service("mend-llm", list(MODELS))]
    tenants = [{"name": "huts", "apiKeys": ["key-1"], "priority": 1}]
    case.store.put_json("op/config", config(7, routes, services, tenants))
    for model, version in MODELS.items():
        case.store.put_json(f"op/version/{model}", {"model": model, "version": version})
    zones = ["akl-a", "akl-b", "akl-c"]
    engines = [
        Engine(case.store, f"i-{n}", "mend-llm", zones[n % 3], MODELS, events=10)
        for n in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    await case.start_nodes(zones[:2])
    await asyncio.sleep(4)

    answers = []

    async def ask(number: int) -> None:
        model, path = (("alpha", "/quote/1"), ("beta", "/triage/1"))[number % 2]
        fields = {"Authorization": "Bearer key-1", "X-Model": model, "X-Token-Counts": "300,10"}
        fields["X-Prompt-Prefix"] = f"aa{number % 7:02x}:200,{number:08x}:100"
        answers.append(await send(case.nodes[number // 2 % 2], model, path, fields))

    async def traffic() -> None:
        for number in range(PLAY_S * 8):
            spawn(ask(number))
            await asyncio.sleep(0.125)

    running = spawn(traffic())
    await asyncio.sleep(2)
    acked = time.monotonic()
    if case.has_trouble:
        case.store.put_json("op/version/alpha", {"model": "alpha", "version": 2})
        case.write("acknowledged: op/version/alpha names version 2")
    await running
    ended = time.monotonic()
    await asyncio.sleep(3)

    target = 2 if case.has_trouble else 1
    old = [e.server for e in engines if e.models["alpha"] < target]
    case.write_answers(answers)
    case.write_runs(engines)
    late = [a for a in answers if a.sent > acked + VERSION_MS / 1_000]
    for model in MODELS:
        mine = [a for a in late if a.kind == model]
        served = sum(a.is_served for a in mine)
        case.write(f"{model}: {served} of {len(mine)} served, sent {VERSION_MS} ms after the ack")
    case.write(f"calm for {ended - acked:.1f} s since the ack; versionAllMs is {VERSION_ALL_MS}")
    case.write(f"servers with older weights of alpha at the end: {old} of {len(engines)}")
    long_enough = (ended - acked) * 1_000 >= 1.5 * VERSION_MS
    return long_enough and len(old) > 1 and len(old) > len(engines) / 10


run_case(play, Path(__file__).resolve().parent)
