"""Decodes the heartbeats and deregistrations of a target."""

import time
from collections.abc import Callable
from typing import Annotated

import msgspec

from cranberryhold.exceptions import DECODE_ERRORS, PeerError
from cranberryhold.flows.heartbeat import Heartbeat, TargetPhase
from cranberryhold.flows.http_server import Request

_INSTANCES_PREFIX = "/instances/"
_HEARTBEAT_SUFFIX = "/heartbeat"
_DEREGISTER_SUFFIX = "/deregister"
MAX_SLOTS = 1_000_000
# A slow start takes some seconds; sidecars report it for no longer than this.
MAX_COLD_MS = 600_000.0
MAX_SEQUENCE = 2**53
# A start further in the future is not explained by a clock that was set back.
MAX_CLOCK_STEP_S = 86_400.0


class _HeartbeatBody(msgspec.Struct, rename="camel"):
    service: str
    address: str
    # Not used; a heartbeat without them is not one of a target.
    zone: str
    version: str
    state: TargetPhase
    # Requests that the target processes concurrently.
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    # Remaining time for which the target is slow after its start.
    cold_remaining_ms: float
    seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    # Unix time of the target's start in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class PlatformHeartbeatReader:
    """Implements :class:`~cranberryhold.flows.sidecar_daemon.HeartbeatReader`.

    :param target_address: address that heartbeats must contain.
    :param unix_time: time of day in seconds.
    """

    def __init__(
        self, target_address: str, unix_time: Callable[[], float] = time.time
    ) -> None:
        self._target_address = target_address
        self._unix_time = unix_time

    def read(self, request: Request) -> Heartbeat | str | None:
        """Return a heartbeat, the id of a target that has ended, or None."""
        path = request.path
        if request.method != "POST" or not path.startswith(_INSTANCES_PREFIX):
            return None
        if path.endswith(_DEREGISTER_SUFFIX):
            return path.removeprefix(_INSTANCES_PREFIX).removesuffix(_DEREGISTER_SUFFIX)
        if not path.endswith(_HEARTBEAT_SUFFIX):
            return None
        target_id = path.removeprefix(_INSTANCES_PREFIX).removesuffix(_HEARTBEAT_SUFFIX)
        try:
            heartbeat = msgspec.json.decode(request.body, type=_HeartbeatBody)
            self._check(heartbeat)
        except DECODE_ERRORS as error:
            raise PeerError(
                f"malformed heartbeat: {error}", step="read heartbeat", peer=target_id
            ) from error
        return Heartbeat(
            target_id,
            heartbeat.born,
            heartbeat.seq,
            heartbeat.service,
            heartbeat.state,
            heartbeat.concurrency,
            min(heartbeat.cold_remaining_ms, MAX_COLD_MS) / 1000,
        )

    def _check(self, heartbeat: _HeartbeatBody) -> None:
        if heartbeat.address != self._target_address:
            raise ValueError(
                f"address is {heartbeat.address!r}, expected {self._target_address!r}"
            )
        latest_start_ms = (self._unix_time() + MAX_CLOCK_STEP_S) * 1000
        if heartbeat.born > latest_start_ms:
            raise ValueError(f"start {heartbeat.born} ms is in the future")
