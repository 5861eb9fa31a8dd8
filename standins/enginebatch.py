"""Scheduler of the engine stand-in: prefill queue, continuous batching, resumable streams."""

from __future__ import annotations

import heapq
import itertools
import threading
import time
from collections.abc import Callable, Iterator
from queue import SimpleQueue

from bergamothill.connection.engine import EventKind, InferenceRun, StreamEvent
from bergamothill.connection.enginewire import encode_event

STREAM_RETENTION_S = 60.0
IDLE_WAIT_S = 1.0

Frame = bytes | None
"""Encoded event of a stream; None marks the end of the stream."""


class Stream:
    """Event stream of one run, buffered so that readers can resume it."""

    def __init__(self, run: InferenceRun) -> None:
        self.run = run
        self.cancelled = False
        self.ended_s: float | None = None
        self._frames: list[bytes] = []
        self._readers: list[SimpleQueue[Frame]] = []
        self._lock = threading.Lock()

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event."""
        return len(self._frames)

    def append(self, event: StreamEvent) -> None:
        """Append an event and pass it to all readers."""
        frame = encode_event(event)
        with self._lock:
            self._frames.append(frame)
            for reader in self._readers:
                reader.put(frame)

    def end(self, reason: str) -> None:
        """Append the END event and close the stream."""
        self.append(StreamEvent(self.next_sequence, EventKind.END, finish_reason=reason))
        self.ended_s = time.monotonic()
        with self._lock:
            for reader in self._readers:
                reader.put(None)

    def read(self, after: int) -> Iterator[bytes]:
        """Yield the events after a sequence number, until the stream ends."""
        frames: SimpleQueue[Frame] = SimpleQueue()
        with self._lock:
            for frame in self._frames[after + 1 :]:
                frames.put(frame)
            if self.ended_s is not None:
                frames.put(None)
            else:
                self._readers.append(frames)
        try:
            while (frame := frames.get()) is not None:
                yield frame
        finally:
            with self._lock:
                if frames in self._readers:
                    self._readers.remove(frames)


class Batch:
    """Prefills one run at a time and decodes all others in one batch.

    :param prefill_tokens_per_s: prefill speed
    :param decode_ms: duration of one decode step, in milliseconds
    :param start_run: called when a run's prefill begins; returns its START event
    :param generate_words: returns the whole answer of a run, token by token
    """

    def __init__(
        self,
        prefill_tokens_per_s: int,
        decode_ms: int,
        start_run: Callable[[InferenceRun], StreamEvent],
        generate_words: Callable[[InferenceRun], list[str]],
    ) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._decode_s = decode_ms / 1000
        self._start_run = start_run
        self._generate_words = generate_words
        self._sequence = itertools.count()
        self._queue: list[tuple[int, int, Stream]] = []
        self._decoding: list[tuple[Stream, Iterator[str]]] = []
        self._streams: dict[str, Stream] = {}
        self._changed = threading.Condition()
        threading.Thread(target=self._prefill_loop, daemon=True).start()
        threading.Thread(target=self._decode_loop, daemon=True).start()

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens queued for prefill."""
        with self._changed:
            return sum(stream.run.prompt_tokens for _, _, stream in self._queue)

    @property
    def running(self) -> int:
        """Runs that are being decoded."""
        return len(self._decoding)

    def find_stream(self, stream_id: str) -> Stream | None:
        """Return a stream unless it has expired."""
        with self._changed:
            return self._streams.get(stream_id)

    def submit(self, run: InferenceRun) -> Stream:
        """Queue a run."""
        stream = Stream(run)
        with self._changed:
            self._remove_expired_streams()
            self._streams[run.stream_id] = stream
            heapq.heappush(self._queue, (run.priority, next(self._sequence), stream))
            self._changed.notify_all()
        return stream

    def _remove_expired_streams(self) -> None:
        cutoff_s = time.monotonic() - STREAM_RETENTION_S
        expired = [
            name
            for name, stream in self._streams.items()
            if stream.ended_s is not None and stream.ended_s < cutoff_s
        ]
        for name in expired:
            del self._streams[name]

    def _prefill_loop(self) -> None:
        while True:
            with self._changed:
                while not self._queue:
                    self._changed.wait(IDLE_WAIT_S)
                _, _, stream = heapq.heappop(self._queue)
            self._prefill(stream)

    def _prefill(self, stream: Stream) -> None:
        if stream.cancelled:
            stream.end("cancelled")
            return
        event = self._start_run(stream.run)
        stream.append(event)
        tokens = max(1, stream.run.prompt_tokens - event.cached_tokens)
        time.sleep(tokens / self._prefill_tokens_per_s)
        words = iter(self._generate_words(stream.run))
        self._generate_token(stream, words)
        with self._changed:
            self._decoding.append((stream, words))
            self._changed.notify_all()

    def _decode_loop(self) -> None:
        next_s = time.monotonic()
        while True:
            with self._changed:
                while not self._decoding:
                    self._changed.wait(IDLE_WAIT_S)
                    next_s = time.monotonic()
                batch = list(self._decoding)
            next_s = max(next_s + self._decode_s, time.monotonic())
            time.sleep(max(0.0, next_s - time.monotonic()))
            ended = [stream for stream, words in batch if not self._generate_token(stream, words)]
            if ended:
                with self._changed:
                    self._decoding = [row for row in self._decoding if row[0] not in ended]

    def _generate_token(self, stream: Stream, words: Iterator[str]) -> bool:
        """Generate one token; return False if the stream has ended."""
        if stream.cancelled:
            stream.end("cancelled")
            return False
        word = next(words, None)
        if word is None:
            stream.end("stop")
            return False
        stream.append(StreamEvent(stream.next_sequence, EventKind.TOKEN, word))
        return True
