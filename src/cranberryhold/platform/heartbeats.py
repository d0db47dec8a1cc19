"""Decodes the heartbeats and deregistrations of a target."""

import msgspec

from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_server import Request
from cranberryhold.flows.target_state import Heartbeat, TargetPhase

_INSTANCES_PREFIX = "/instances/"
_HEARTBEAT_SUFFIX = "/heartbeat"
_DEREGISTER_SUFFIX = "/deregister"


class _HeartbeatBody(msgspec.Struct, rename="camel"):
    service: str
    address: str
    state: TargetPhase
    # Requests that the target processes concurrently.
    concurrency: int
    # Remaining time for which the target is slow after its start.
    cold_remaining_ms: float
    seq: int
    # Unix time of the target's start in milliseconds.
    born: int = 0


class PlatformHeartbeatReader:
    """Implements :class:`~cranberryhold.flows.sidecar_daemon.HeartbeatReader`.

    :param target_address: address that heartbeats must contain.
    """

    def __init__(self, target_address: str) -> None:
        self._target_address = target_address

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
        except msgspec.MsgspecError as error:
            raise PeerError(
                f"malformed heartbeat: {error}", step="read heartbeat", peer=target_id
            ) from error
        if heartbeat.address != self._target_address:
            raise PeerError(
                f"heartbeat is for {heartbeat.address!r}, "
                f"expected {self._target_address!r}",
                step="read heartbeat",
                peer=target_id,
            )
        return Heartbeat(
            target_id,
            heartbeat.born,
            heartbeat.seq,
            heartbeat.service,
            heartbeat.state,
            heartbeat.concurrency,
            heartbeat.cold_remaining_ms / 1000,
        )
