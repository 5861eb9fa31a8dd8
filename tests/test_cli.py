import json
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from cleo.io.buffered_io import BufferedIO
from cleo.io.inputs.argv_input import ArgvInput
from werkzeug.serving import make_server

from bergamothill.cli import main as cli
from bergamothill.cli.base import UsageError, duration_ms, exit_code
from bergamothill.clock import ManualClock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import ConflictError, Execution, PeerTimeoutError, PeerUnreachableError
from bergamothill.request.auth import key_digest
from bergamothill.version.change import SetDefault
from bergamothill.version.revision import ConfigurationWriter
from standins.base import StandIn, json_response


class CliTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = MemoryKeyValueService(self.clock)
        patcher = mock.patch("bergamothill.porcelain.open_kvs", lambda address: self.kvs)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.io = BufferedIO()

    def run_command(self, arguments):
        io = BufferedIO()
        with mock.patch("sys.argv", ["bergamothill", *arguments, "--kvs", "memory"]):
            self.code = cli.run(ArgvInput(), io.output, io.error_output)
        self.error = io.fetch_error()
        return io.fetch_output()

    def run_json(self, *arguments):
        return json.loads(self.run_command([*arguments, "--json"]))

    def run_ok(self, text):
        output = self.run_command(text.split())
        self.assertEqual(self.code, 0, self.error)
        return output

    def configuration(self):
        return ConfigurationWriter(self.kvs, self.clock).read().configuration


class ChangeTests(CliTestCase):
    def test_create_brand_and_grant_permissions(self):
        self.run_ok("model add guide v1 --bytes-per-token 2000")
        self.run_ok("adapter add guide warranty")
        self.run_ok("service add booking --repeatable get")
        self.run_ok("brand add acme")
        self.run_ok("brand allow-model acme guide")
        self.run_ok("brand allow-adapter acme guide warranty")
        self.run_ok("brand allow-service acme booking")
        brand = self.run_json("brand", "show", "acme")["brand"]
        self.assertEqual(brand["adapters"], ["guide:warranty"])
        self.assertEqual(self.configuration().services["booking"].repeatable_methods, {"GET"})
        self.assertIn("guide:warranty", self.run_ok("brand show acme"))

    def test_add_key_prints_key_and_stores_only_its_digest(self):
        self.run_ok("brand add acme")
        key = self.run_json("brand", "add-key", "acme")["key"]
        self.assertEqual(self.configuration().brands["acme"].key_digests, {key_digest(key)})
        stored = b"".join(entry.value for entry in self.kvs.scan(""))
        self.assertNotIn(key.encode(), stored)

    def test_exception_requires_reason(self):
        self.run_ok("brand add acme")
        self.run_command(["warm-time", "30m", "--brand", "acme"])
        self.assertEqual(self.code, 1)
        self.run_ok("warm-time 30m --brand acme --reason pilot")
        self.run_ok("warm-time 2d")
        self.assertEqual(self.configuration().value_for("acme", "warm_time_ms"), 1_800_000)
        self.assertEqual(self.configuration().defaults.warm_time_ms, 172_800_000)
        self.assertIn("pilot", self.run_ok("exception list"))

    def test_repeat_with_change_id_reports_superseding_changes(self):
        first = self.run_json("default", "set", "warm_time_ms", "5")
        self.run_ok("default set warm_time_ms 6")
        line = ["default", "set", "warm_time_ms", "5", "--change-id", first["change_id"]]
        repeat = self.run_json(*line)
        self.assertTrue(repeat["repeated"])
        self.assertEqual([later["revision"] for later in repeat["superseded_by"]], [2])
        self.assertEqual(self.configuration().defaults.warm_time_ms, 6)
        self.assertIn("superseded at revision 2", self.run_command(line))

    def test_conflict_reports_the_accepted_change(self):
        self.run_ok("default set warm_time_ms 5")
        error = self.run_json("default", "set", "warm_time_ms", "7", "--base", "0")["error"]
        self.assertEqual((self.code, error["code"]), (1, "conflict"))
        self.assertIn("set_default warm_time_ms 5", error["message"])

    def test_diff_and_apply_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "state.toml")
            path.write_text("[brands.acme]\n[defaults]\nwarm_time_ms = 9\n")
            self.assertIn("add_brand brand=acme", self.run_ok(f"diff {path}"))
            self.assertIn("revision 1", self.run_ok(f"apply {path}"))
            self.assertIn("nothing to change", self.run_ok(f"apply {path}"))
        self.assertIn("add_brand acme", self.run_ok("history"))

    def test_start_and_stop_rollout(self):
        self.run_ok("model add guide v1")
        self.run_ok("rollout start guide v2")
        self.assertIn("guide v1 -> v2", self.run_ok("rollout status"))
        self.run_ok("rollout stop guide")
        self.assertIn("no rollout", self.run_ok("rollout status"))

    def test_invalid_command_lines(self):
        for line in ("nonsense", "brand add", "warm-time soon", "brand list --what", "status"):
            with self.subTest(line=line):
                self.run_command(line.split())
                self.assertEqual(self.code, 2)


class EntryStandIn(StandIn):
    """Stand-in of an entry instance that serves the operators' routes only."""

    KEY = "the operator key"

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.draining = False
        self.route("/operator/status", self.status, ["GET"])
        self.route("/operator/drain", self.drain, ["POST"])

    def status(self, request):
        if request.headers.get("Authorization") != f"Bearer {self.KEY}":
            return json_response({"error": "no"}, 401)
        return json_response(
            {
                "entry": "entry-1",
                "zone": "a",
                "incarnation": 1,
                "revision": self.revision,
                "configuration_age_ms": 12,
                "draining": self.draining,
                "peers": ["entry-2"],
                "servers": [{"server": "engine-1", "zone": "a", "state": "live"}],
                "new_in_a_later_version": 1,
            }
        )

    def drain(self, request):
        self.draining = True
        return json_response({}, 202)


class EntryTests(CliTestCase):
    def setUp(self):
        super().setUp()
        self.entry = EntryStandIn()
        self.server = make_server("127.0.0.1", 0, self.entry, threaded=True)
        thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        address = f"127.0.0.1:{self.server.server_port}"
        self.options = ["--entry", address, "--operator-key", EntryStandIn.KEY]

    def test_status_as_text_and_json(self):
        output = self.run_command(["status", *self.options])
        self.assertIn("server=engine-1 zone=a state=live seen by entry-1", output)
        self.assertEqual(self.run_json("status", *self.options)[0]["entry"], "entry-1")

    def test_status_includes_unreachable_entry(self):
        answers = self.run_json("status", *self.options, "--entry", "127.0.0.1:1")
        self.assertEqual(self.code, 3)
        self.assertEqual([("error" in answer) for answer in answers], [False, True])

    def test_invalid_operator_key(self):
        self.run_json("status", *self.options[:2], "--operator-key", "guess")
        self.assertEqual(self.code, 1)

    def test_drain(self):
        self.run_command(["drain", *self.options])
        self.assertEqual(self.code, 0)
        self.assertTrue(self.entry.draining)

    def test_wait_until_change_is_in_force(self):
        self.entry.revision = 1
        self.run_command(["default", "set", "warm_time_ms", "5", "--wait", *self.options])
        self.assertEqual(self.code, 0)
        self.assertIn("in force on 1 of 1", self.error)
        line = ["default", "set", "warm_time_ms", "6", "--wait", "--timeout", "1ms"]
        self.assertIs(self.run_json(*line, *self.options)["in_force"], False)
        self.assertEqual(self.code, 3)


class HelperTests(unittest.TestCase):
    def test_exit_codes(self):
        unknown = PeerTimeoutError("lost", step="x")
        not_run = PeerTimeoutError("lost", step="x", execution=Execution.NOT_RUN)
        self.assertEqual(exit_code(ConflictError("x", step="x"), may_change=True), 1)
        self.assertEqual(exit_code(PeerUnreachableError("x", step="x"), may_change=True), 3)
        self.assertEqual(exit_code(not_run, may_change=True), 3)
        self.assertEqual(exit_code(unknown, may_change=False), 3)
        self.assertEqual(exit_code(unknown, may_change=True), 4)

    def test_parse_durations(self):
        self.assertEqual(duration_ms("90s"), 90_000)
        with self.assertRaises(UsageError):
            duration_ms("1 day")

    def test_timeout_of_a_read_is_reported_as_not_run(self):
        clock = ManualClock()
        kvs = MemoryKeyValueService(clock)
        writer = ConfigurationWriter(kvs, clock)
        with mock.patch.object(kvs, "get", side_effect=PeerTimeoutError("slow", step="kvs.get")):
            for call in (writer.read, lambda: writer.submit((SetDefault("warm_time_ms", 1),))):
                with self.assertRaises(PeerTimeoutError) as context:
                    call()
                self.assertIs(context.exception.execution, Execution.NOT_RUN)
