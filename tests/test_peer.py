import os
import signal
import socket
import subprocess
import sys
import threading
import unittest
from contextlib import closing
from dataclasses import dataclass

from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from bergamothill.clock import SystemClock
from bergamothill.connection.bus import Scope, message
from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceState
from bergamothill.connection.liveness import LivenessBounds
from bergamothill.connection.peer import PeerMesh
from bergamothill.errors import PeerUnreachableError, UnavailableError
from scripts.processes import ROOT
from tests.builders import await_true

SECRET = "peer secret"
FAST_BOUNDS = LivenessBounds(heartbeat_ms=200, silence_ms=700, pause_ms=600)


@message("test.number")
@dataclass(frozen=True)
class Number:
    value: int


def make_mesh(entry_id, zone="a", secret=SECRET):
    return PeerMesh(entry_id, zone, 1, "127.0.0.1:0", SystemClock(), secret, FAST_BOUNDS)


def make_instance(entry_id, zone, address):
    return Instance(entry_id, InstanceKind.ENTRY, zone, address, 1, InstanceState.LIVE)


class StallingProxy:
    """TCP proxy; :meth:`stall` stops forwarding on its open connections without closing them."""

    def __init__(self, target):
        self.target = target
        self._pairs = []
        self._stalled = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                downstream, _ = self._listener.accept()
            except OSError:
                return
            host, port = self.target.split(":")
            upstream = socket.create_connection((host, int(port)))
            pair = (downstream, upstream)
            self._pairs.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward, args=(pair, source, sink), daemon=True
                ).start()

    def _forward(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if pair not in self._stalled:
                    sink.sendall(data)
            if pair not in self._stalled:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def stall(self):
        self._stalled.update(self._pairs)

    def close(self):
        self._listener.close()
        for pair in self._pairs:
            for end in pair:
                end.close()


class PeerMeshTests(unittest.TestCase):
    def setUp(self):
        self.meshes = []

    def tearDown(self):
        for mesh in self.meshes:
            mesh.close()

    def start(self, *zones_and_names):
        for name, zone in zones_and_names:
            mesh = make_mesh(name, zone)
            mesh.start()
            self.meshes.append(mesh)
        instances = tuple(
            make_instance(name, zone, mesh.address)
            for (name, zone), mesh in zip(zones_and_names, self.meshes, strict=True)
        )
        for mesh in self.meshes:
            mesh.update_instances(instances)
        return self.meshes

    def test_messages_reach_their_scope_once_and_requests_get_replies(self):
        names = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")]
        meshes = self.start(*names)
        received = []
        for mesh, (name, _) in zip(meshes, names, strict=True):
            mesh.subscribe(Number, lambda sender, m, to=name: received.append((sender, to, m)))
        await_true(lambda: all(len(mesh.live_peers()) == 2 for mesh in meshes))
        await_true(lambda: any(v.link for v in meshes[0].peers() if v.zone == "b"))
        meshes[0].publish(Number(1), Scope.EVERYWHERE)
        await_true(lambda: len(received) >= 3)
        meshes[0].publish_batch((Number(2), Number(3)), Scope.ZONE)
        await_true(lambda: len(received) >= 5)
        expected = [("a1", to, Number(1)) for to in ("a2", "b1", "b2")]
        expected += [("a1", "a2", Number(value)) for value in (2, 3)]
        self.assertEqual(sorted(received, key=str), sorted(expected, key=str))
        meshes[2].subscribe(Number, lambda sender, m: Number(m.value + 1))
        self.assertEqual(meshes[0].request("b1", Number(4), timeout_ms=5_000), Number(5))

    def test_failed_handler_raises_unavailable_error_at_the_requester(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        two.subscribe(Number, lambda sender, m: 1 // 0)
        await_true(lambda: len(one.live_peers()) == 2)
        with self.assertRaises(UnavailableError):
            one.request("a2", Number(4), timeout_ms=5_000)
        with self.assertRaises(PeerUnreachableError):
            one.request("nobody", Number(4), timeout_ms=5_000)

    def test_goodbye_ends_membership_immediately(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        await_true(lambda: len(one.live_peers()) == 2)
        two.close()
        await_true(lambda: one.live_peers() == ("a1",))

    def test_peer_with_another_secret_is_rejected(self):
        one, _ = self.start(("a1", "a"), ("a2", "a"))
        unauthorized = make_mesh("a3", secret="another")
        unauthorized.start()
        self.meshes.append(unauthorized)
        unauthorized.update_instances((make_instance("a1", "a", one.address),))
        await_true(lambda: [v.status.value for v in unauthorized.peers()] == ["dead"])
        self.assertNotIn("a3", one.live_peers())

    def test_malformed_frame_closes_only_its_own_connection(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        await_true(lambda: len(one.live_peers()) == 2)
        for malformed in (b"\xff\xff", b"", "text", b"\x80"):
            with closing(connect(f"ws://{one.address}/", proxy=None)) as connection:
                connection.send(malformed)
                with self.assertRaises(ConnectionClosed):
                    connection.recv(timeout=5)
                    connection.recv(timeout=5)
        two.subscribe(Number, lambda sender, m: m)
        self.assertEqual(one.request("a2", Number(1), timeout_ms=5_000), Number(1))

    def test_stalled_connection_is_replaced_and_the_peer_stays_live(self):
        one, two = make_mesh("a1"), make_mesh("a2")
        self.meshes += [one, two]
        one.start()
        two.start()
        proxy = StallingProxy(two.address)
        self.addCleanup(proxy.close)
        one.update_instances((make_instance("a2", "a", proxy.address),))
        await_true(lambda: len(one.live_peers()) == 2 and len(two.live_peers()) == 2)
        first = one.peers()[0].link
        proxy.stall()
        await_true(lambda: one.peers()[0].link not in (first, None))
        two.subscribe(Number, lambda sender, m: m)
        self.assertEqual(one.request("a2", Number(1), timeout_ms=5_000), Number(1))
        self.assertEqual(one.live_peers(), ("a1", "a2"))

    def test_stopped_process_is_dead_until_it_resumes(self):
        child = subprocess.Popen(
            [sys.executable, "-m", "tests.peerchild"], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(child.stdout.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        address = child.stdout.readline().strip()
        (one,) = self.start(("a1", "a"))
        one.update_instances((make_instance("a2", "a", address),))
        await_true(lambda: len(one.live_peers()) == 2)
        os.kill(child.pid, signal.SIGSTOP)
        await_true(lambda: one.live_peers() == ("a1",))
        os.kill(child.pid, signal.SIGCONT)
        await_true(lambda: len(one.live_peers()) == 2)
        child.kill()
        await_true(lambda: one.live_peers() == ("a1",))


class PeerClockTests(unittest.TestCase):
    def test_peer_time_is_not_later_on_the_local_clock(self):
        clock = SystemClock()
        one, two = make_mesh("a1"), make_mesh("a2")
        with closing(one), closing(two):
            one.start()
            two.start()
            one.update_instances((make_instance("a2", "a", two.address),))
            await_true(lambda: one.to_local_ms("a2", clock.now_ms()) is not None)
            before_ms = clock.now_ms()
            self.assertLessEqual(one.to_local_ms("a2", before_ms), before_ms)
