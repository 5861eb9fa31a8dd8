"""Entry instance as a subprocess: executes one call for each line of standard input."""

from __future__ import annotations

import json
import sys

from bergamothill.clock import SystemClock
from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs_http import HttpKeyValueService
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.connection.service import HttpPlainService, ServiceCall
from bergamothill.errors import BergamothillError
from bergamothill.request.action import ActionRunner


def main(entry_id: str, kvs_address: str, service_address: str) -> None:
    """Execute calls until end of input.

    Each line is a JSON object with the request ID and the timeout; the outcome is printed.
    """
    kvs = HttpKeyValueService(HttpClient("kvs", kvs_address))
    service = HttpPlainService(HttpClient("booking", service_address))
    runner = ActionRunner(kvs, MemoryNetwork().join(entry_id, "zone-a"), SystemClock(), entry_id)
    for line in sys.stdin:
        request = json.loads(line)
        call = ServiceCall(
            request["request_id"],
            "mend",
            "POST",
            "pickups",
            b"pack",
            "text/plain",
            "k1",
            request["timeout_ms"],
            "booking",
        )
        try:
            outcome = runner.run(call, "booking-1", service, repeatable=False).body.decode()
        except BergamothillError as error:
            outcome = error.execution.value
        print(outcome, flush=True)
        runner.maintain()


if __name__ == "__main__":
    main(*sys.argv[1:])
