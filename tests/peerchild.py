"""Runs entry instance ``a2`` of the peer tests as a subprocess and prints its address."""

import signal

from tests.test_peer import make_mesh


def main():
    mesh = make_mesh("a2")
    mesh.start()
    print(mesh.address, flush=True)
    signal.pause()


if __name__ == "__main__":
    main()
