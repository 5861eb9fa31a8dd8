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
FAST = LivenessBounds(heartbeat_ms=200, silence_ms=700, pause_ms=600)


@message("test.number")
@dataclass(frozen=True)
class Number:
    value: int


def make_mesh(entry_id, zone="a", secret=SECRET):
    return PeerMesh(entry_id, zone, 1, "127.0.0.1:0", SystemClock(), secret, FAST)


def listed(entry_id, zone, address):
    return Instance(entry_id, InstanceKind.ENTRY, zone, address, 1, InstanceState.LIVE)


class SilentProxy:
    """Forwards connections; those open at :meth:`silence` go silent for good."""

    def __init__(self, target):
        self.target = target
        self._pairs = []
        self._silent = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            host, port = self.target.split(":")
            far = socket.create_connection((host, int(port)))
            pair = (near, far)
            self._pairs.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward, args=(pair, source, sink), daemon=True
                ).start()

    def _forward(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if pair not in self._silent:
                    sink.sendall(data)
            if pair not in self._silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def silence(self):
        self._silent.update(self._pairs)

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
            listed(name, zone, mesh.address)
            for (name, zone), mesh in zip(zones_and_names, self.meshes, strict=True)
        )
        for mesh in self.meshes:
            mesh.update_instances(instances)
        return self.meshes

    def test_messages_reach_their_scope_once_and_requests_are_answered(self):
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

    def test_a_handler_that_fails_answers_with_a_typed_error(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        two.subscribe(Number, lambda sender, m: 1 // 0)
        await_true(lambda: len(one.live_peers()) == 2)
        with self.assertRaises(UnavailableError):
            one.request("a2", Number(4), timeout_ms=5_000)
        with self.assertRaises(PeerUnreachableError):
            one.request("nobody", Number(4), timeout_ms=5_000)

    def test_a_goodbye_ends_membership_at_once(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        await_true(lambda: len(one.live_peers()) == 2)
        two.close()
        await_true(lambda: one.live_peers() == ("a1",))

    def test_another_secret_is_refused(self):
        one, _ = self.start(("a1", "a"), ("a2", "a"))
        stranger = make_mesh("a3", secret="another")
        stranger.start()
        self.meshes.append(stranger)
        stranger.update_instances((listed("a1", "a", one.address),))
        await_true(lambda: [v.status.value for v in stranger.peers()] == ["dead"])
        self.assertNotIn("a3", one.live_peers())

    def test_garbage_closes_only_its_own_connection(self):
        one, two = self.start(("a1", "a"), ("a2", "a"))
        await_true(lambda: len(one.live_peers()) == 2)
        for garbage in (b"\xff\xff", b"", "text", b"\x80"):
            with closing(connect(f"ws://{one.address}/", proxy=None)) as connection:
                connection.send(garbage)
                with self.assertRaises(ConnectionClosed):
                    connection.recv(timeout=5)
                    connection.recv(timeout=5)
        two.subscribe(Number, lambda sender, m: m)
        self.assertEqual(one.request("a2", Number(1), timeout_ms=5_000), Number(1))

    def test_a_silent_connection_is_replaced_and_the_peer_stays_live(self):
        one, two = make_mesh("a1"), make_mesh("a2")
        self.meshes += [one, two]
        one.start()
        two.start()
        proxy = SilentProxy(two.address)
        self.addCleanup(proxy.close)
        one.update_instances((listed("a2", "a", proxy.address),))
        await_true(lambda: len(one.live_peers()) == 2 and len(two.live_peers()) == 2)
        first = one.peers()[0].link
        proxy.silence()
        await_true(lambda: one.peers()[0].link not in (first, None))
        two.subscribe(Number, lambda sender, m: m)
        self.assertEqual(one.request("a2", Number(1), timeout_ms=5_000), Number(1))
        self.assertEqual(one.live_peers(), ("a1", "a2"))

    def test_a_stopped_process_is_dead_and_returns_when_it_goes_on(self):
        child = subprocess.Popen(
            [sys.executable, "-m", "tests.peerchild"], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(child.stdout.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        address = child.stdout.readline().strip()
        (one,) = self.start(("a1", "a"))
        one.update_instances((listed("a2", "a", address),))
        await_true(lambda: len(one.live_peers()) == 2)
        os.kill(child.pid, signal.SIGSTOP)
        await_true(lambda: one.live_peers() == ("a1",))
        os.kill(child.pid, signal.SIGCONT)
        await_true(lambda: len(one.live_peers()) == 2)
        child.kill()
        await_true(lambda: one.live_peers() == ("a1",))


class PeerClockOverLinkTests(unittest.TestCase):
    def test_an_instant_of_a_peer_is_bounded_from_below(self):
        clock = SystemClock()
        one, two = make_mesh("a1"), make_mesh("a2")
        with closing(one), closing(two):
            one.start()
            two.start()
            one.update_instances((listed("a2", "a", two.address),))
            await_true(lambda: one.local_ms("a2", clock.now_ms()) is not None)
            before_ms = clock.now_ms()
            self.assertLessEqual(one.local_ms("a2", before_ms), before_ms)
