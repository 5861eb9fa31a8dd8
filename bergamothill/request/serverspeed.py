"""Estimates how fast servers answer, from the answers to this instance; no I/O and no clock.

A model of each service is fitted to the latest answers of all its servers: a few answers in a
second reach one instance from a service, but only one in several seconds from a server. Each
incarnation has a factor on that model, the median over its own answers and some assumed ones at the
speed of the service. Medians and least absolute deviations keep single late answers without effect.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median, quantiles
from typing import NamedTuple

from bergamothill.ids import ServerId, ServiceName

__all__ = ["INITIAL_TOKENS_PER_MS", "EngineSpeed", "PromptWork", "ServerSpeeds", "ServiceTime"]

INITIAL_TOKENS_PER_MS = 100.0
"""Prefill speed assumed until enough answers of a service were seen."""

INITIAL_MS_PER_REQUEST = 0.5
"""Delay by each request in progress that is assumed until then."""

MS_PER_TOKEN_RANGE = (0.001, 1.0)
MS_PER_REQUEST_RANGE = (0.0, 20.0)
FACTOR_RANGE = (0.5, 4.0)

CHUNK_TOKENS = 1_024
"""Tokens that each prompt in prefill gets in one step of an engine."""

SERVICE_SAMPLES = 128
MIN_SERVICE_SAMPLES = 16
REFIT_SAMPLES = 16
"""Number of new samples after which the model of a service is fitted again."""

FIT_ROUNDS = 3

SERVER_SAMPLES = 15
SERVER_SAMPLE_TTL_MS = 30_000
"""Age at which a sample is ignored, so that a server which was slow is tried again."""

ASSUMED_SAMPLES = 2
"""Assumed samples of each incarnation at the speed of its service."""

Incarnation = tuple[ServerId, int]


class PromptWork(NamedTuple):
    """Work of an engine until the first token of a prompt.

    :param tokens: tokens of the prompt to prefill
    :param beside_tokens: tokens left to prefill of the prompts before it
    :param beside_requests: requests in progress before it
    """

    tokens: int
    beside_tokens: int = 0
    beside_requests: int = 0


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Time for which a request occupies a slot of a server.

    :param median_ms: median
    :param late_ms: 90th percentile
    """

    median_ms: float
    late_ms: float


@dataclass(frozen=True, slots=True)
class _Sample:
    at_ms: int
    work: PromptWork
    took_ms: float


class _PrefillModel:
    """Time to the first token at the engines of a service.

    Engines prefill prompts in turn, or several in parallel with one chunk of each in a step. The
    model that fits the answers better is used; in turn is assumed until there are enough.
    """

    def __init__(self) -> None:
        self.samples: deque[_Sample] = deque(maxlen=SERVICE_SAMPLES)
        self.ms_per_token = 1 / INITIAL_TOKENS_PER_MS
        self.ms_per_request = INITIAL_MS_PER_REQUEST
        self.revision = 0
        self._parallel_prompt_tokens = 0.0
        self._unfitted = 0

    def add(self, sample: _Sample) -> None:
        """Add a sample, and fit the model if it is due."""
        self.samples.append(sample)
        self._unfitted += 1
        if len(self.samples) >= MIN_SERVICE_SAMPLES and self._unfitted >= REFIT_SAMPLES:
            self._fit()

    def _fit(self) -> None:
        self._unfitted = 0
        self.revision += 1
        sizes = [sample.work.tokens for sample in self.samples]
        prompt_tokens = sum(size * size for size in sizes) / max(1, sum(sizes))
        fits = []
        for parallel_prompt_tokens in (0.0, prompt_tokens):
            rows = [(_tokens_until_first(s.work, parallel_prompt_tokens), s) for s in self.samples]
            fits.append((*_fit_rows(rows), parallel_prompt_tokens))
        _, self.ms_per_token, self.ms_per_request, self._parallel_prompt_tokens = min(fits)

    def first_token_ms(self, work: PromptWork) -> float:
        """Return the expected time to the first token at a server of the median speed."""
        tokens = _tokens_until_first(work, self._parallel_prompt_tokens)
        return self.ms_per_token * tokens + self.ms_per_request * (work.beside_requests + 1)


class EngineSpeed:
    """Speed of one engine.

    :param model: model of its service
    :param factor: how many times as long as the median engine of its service it takes
    """

    __slots__ = ("_factor", "_model", "tokens_per_ms")

    def __init__(self, model: _PrefillModel, factor: float) -> None:
        self._model = model
        self._factor = factor
        self.tokens_per_ms = 1 / (model.ms_per_token * factor)
        """Prefill speed."""

    def first_token_ms(self, work: PromptWork) -> float:
        """Return the expected time to the first token of a prompt, without fetches."""
        return self._factor * self._model.first_token_ms(work)


class _Server:
    """Samples of one incarnation."""

    def __init__(self) -> None:
        self.prompts: deque[_Sample] = deque(maxlen=SERVER_SAMPLES)
        self.times: deque[tuple[int, float]] = deque(maxlen=SERVER_SAMPLES)
        self.speed = _INITIAL_SPEED
        self.speed_until_ms = -1
        self.speed_revision = -1


class ServerSpeeds:
    """Estimates for all servers, by incarnation."""

    def __init__(self) -> None:
        self._models: dict[ServiceName, _PrefillModel] = {}
        self._times: dict[ServiceName, deque[float]] = {}
        self._service_times: dict[ServiceName, ServiceTime] = {}
        self._servers: dict[Incarnation, _Server] = {}

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all incarnations but these."""
        kept = set(incarnations)
        self._servers = {key: state for key, state in self._servers.items() if key in kept}

    # Model engines.

    def record_first_token(
        self,
        service: ServiceName,
        incarnation: Incarnation,
        work: PromptWork,
        took_ms: float,
        now_ms: int,
    ) -> None:
        """Record the time to the first token of a prompt of which nothing was fetched."""
        sample = _Sample(now_ms, work, took_ms)
        self._models.setdefault(service, _PrefillModel()).add(sample)
        server = self._servers.setdefault(incarnation, _Server())
        server.prompts.append(sample)
        server.speed_until_ms = -1

    def engine(self, service: ServiceName, incarnation: Incarnation, now_ms: int) -> EngineSpeed:
        """Return the speed of an engine."""
        model = self._models.get(service)
        if model is None or model.revision == 0:
            return _INITIAL_SPEED
        server = self._servers.get(incarnation)
        if server is None:
            server = self._servers[incarnation] = _Server()
        if server.speed_revision == model.revision and now_ms < server.speed_until_ms:
            return server.speed
        recent = [s for s in server.prompts if now_ms - s.at_ms < SERVER_SAMPLE_TTL_MS]
        ratios = [s.took_ms / max(1.0, model.first_token_ms(s.work)) for s in recent]
        factor = _clamp(median(ratios + [1.0] * ASSUMED_SAMPLES), FACTOR_RANGE)
        server.speed = EngineSpeed(model, factor)
        oldest_ms = min((s.at_ms for s in recent), default=now_ms)
        server.speed_until_ms = oldest_ms + SERVER_SAMPLE_TTL_MS
        server.speed_revision = model.revision
        return server.speed

    # Time in a slot.

    def record_service_time(
        self,
        service: ServiceName,
        incarnation: Incarnation,
        beside_requests: int,
        slots: int,
        took_ms: float,
        now_ms: int,
    ) -> float:
        """Record the duration of a successful request; return the time in a slot.

        :param beside_requests: requests in progress at the server when it was sent
        :param slots: requests that the server processes at a time; others wait for a slot
        """
        slot_ms = took_ms / max(1.0, (beside_requests + 1) / max(1, slots))
        self._times.setdefault(service, deque(maxlen=SERVICE_SAMPLES)).append(slot_ms)
        self._service_times.pop(service, None)
        server = self._servers.setdefault(incarnation, _Server())
        server.times.append((now_ms, slot_ms))
        return slot_ms

    def service_time(self, service: ServiceName) -> ServiceTime | None:
        """Return the time in a slot at the servers of a service; None if too few were seen."""
        times_ms = self._times.get(service, ())
        if len(times_ms) < MIN_SERVICE_SAMPLES:
            return None
        known = self._service_times.get(service)
        if known is None:
            deciles = quantiles(times_ms, n=10)
            known = self._service_times[service] = ServiceTime(deciles[4], deciles[8])
        return known

    def slot_ms(self, service: ServiceName, incarnation: Incarnation, now_ms: int) -> float | None:
        """Return the median time in a slot of a server; None if it is not known."""
        service_time = self.service_time(service)
        if service_time is None:
            return None
        server = self._servers.get(incarnation)
        times = () if server is None else server.times
        recent_ms = [ms for at_ms, ms in times if now_ms - at_ms < SERVER_SAMPLE_TTL_MS]
        return median(recent_ms + [service_time.median_ms] * ASSUMED_SAMPLES)


def _tokens_until_first(work: PromptWork, parallel_prompt_tokens: float) -> float:
    """Return the tokens that an engine prefills until the first token of a prompt.

    :param parallel_prompt_tokens: typical prompt of those that are prefilled in parallel; 0 if
        prompts are prefilled in turn
    """
    beside = float(work.beside_tokens)
    if parallel_prompt_tokens and beside:
        prompts = math.ceil(beside / parallel_prompt_tokens)
        beside = min(beside, prompts * max(work.tokens, CHUNK_TOKENS))
    return work.tokens + beside


def _fit_rows(rows: list[tuple[float, _Sample]]) -> tuple[float, float, float]:
    """Fit a model with the least absolute deviations, one coefficient after the other.

    :param rows: tokens prefilled until the first token, and sample
    :returns: sum of the deviations, time for a token and time for a request in progress
    """
    points = [(tokens, s.work.beside_requests + 1, s.took_ms) for tokens, s in rows]
    per_token, per_request = 1 / INITIAL_TOKENS_PER_MS, INITIAL_MS_PER_REQUEST
    for _ in range(FIT_ROUNDS):
        slopes = [((t - per_request * n) / w, w) for w, n, t in points if w > 0]
        if slopes:
            per_token = _clamp(_weighted_median(slopes), MS_PER_TOKEN_RANGE)
        slopes = [((t - per_token * w) / n, float(n)) for w, n, t in points]
        per_request = _clamp(_weighted_median(slopes), MS_PER_REQUEST_RANGE)
    deviation_ms = sum(abs(t - per_token * w - per_request * n) for w, n, t in points)
    return deviation_ms, per_token, per_request


def _weighted_median(values: list[tuple[float, float]]) -> float:
    half = sum(weight for _, weight in values) / 2
    passed = 0.0
    for value, weight in sorted(values):
        passed += weight
        if passed >= half:
            return value
    return values[-1][0]


def _clamp(value: float, bounds: tuple[float, float]) -> float:
    return min(bounds[1], max(bounds[0], value))


_INITIAL_SPEED = EngineSpeed(_PrefillModel(), 1.0)
