"""Stand-in for the platform's instance list.

``PUT /instances/<id>`` registers an instance (JSON object of its fields), ``DELETE`` removes it.
The fault switch ``lag_ms``, in addition to those of :mod:`standins.base`, sets the age of the list
that ``GET /instances`` returns.
"""

from __future__ import annotations

import argparse
import json

from werkzeug.wrappers import Request, Response

from bergamothill.connection.instancelist import (
    MemoryInstanceList,
    decode_instance,
    encode_instance,
)
from bergamothill.errors import ProtocolError
from standins.base import StandIn, json_response


class InstanceListStandIn(StandIn):
    """HTTP interface to an in-memory instance list.

    :param lag_ms: age of the returned list while the switch is not set, in milliseconds
    """

    def __init__(self, lag_ms: int) -> None:
        super().__init__()
        self._lag_ms = lag_ms
        self._instance_list = MemoryInstanceList()
        self.route("/instances", self._handle_list, ["GET"])
        self.route("/instances/<instance_id>", self._handle_register, ["PUT"])
        self.route("/instances/<instance_id>", self._handle_remove, ["DELETE"])

    def _handle_list(self, request: Request) -> Response:
        self._instance_list.lag_ms = self.faults.get("lag_ms", self._lag_ms)
        return json_response([encode_instance(item) for item in self._instance_list.instances()])

    def _handle_register(self, request: Request, instance_id: str) -> Response:
        fields = {**json.loads(request.get_data()), "instance_id": instance_id}
        try:
            self._instance_list.register(decode_instance(fields, peer="caller"))
        except ProtocolError as error:
            return json_response({"error": error.message}, 400)
        return json_response({})

    def _handle_remove(self, request: Request, instance_id: str) -> Response:
        self._instance_list.remove(instance_id)
        return json_response({})


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag-ms", type=int, default=0)
    arguments = parser.parse_args()
    InstanceListStandIn(arguments.lag_ms).serve(arguments.port)


if __name__ == "__main__":
    main()
