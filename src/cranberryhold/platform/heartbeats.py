"""The calls by which a target tells of itself."""

import msgspec

from cranberryhold.exceptions import PeerError
from cranberryhold.flows.http_server import Request
from cranberryhold.flows.target_state import Heartbeat, TargetPhase

_PREFIX = "/instances/"
_BEAT = "/heartbeat"
_END = "/deregister"


class _Beat(msgspec.Struct, rename="camel"):
    service: str
    address: str
    state: TargetPhase
    # Requests that the target works on at a time.
    concurrency: int
    # Time for which the target still is slow after its start.
    cold_remaining_ms: float
    seq: int
    # Unix time of the target's start in milliseconds.
    born: int = 0


class PlatformHeartbeatReader:
    """Implements :class:`~cranberryhold.flows.sidecar_daemon.HeartbeatReader`.

    :param target_address: address that the target must name as its own.
    """

    def __init__(self, target_address: str) -> None:
        self._target_address = target_address

    def read(self, request: Request) -> Heartbeat | str | None:
        """Return a heartbeat, the id of a target that is gone, or None."""
        path = request.path
        if request.method != "POST" or not path.startswith(_PREFIX):
            return None
        if path.endswith(_END):
            return path.removeprefix(_PREFIX).removesuffix(_END)
        if not path.endswith(_BEAT):
            return None
        target_id = path.removeprefix(_PREFIX).removesuffix(_BEAT)
        try:
            beat = msgspec.json.decode(request.body, type=_Beat)
        except msgspec.MsgspecError as error:
            raise PeerError(
                f"malformed heartbeat: {error}", step="read heartbeat", peer=target_id
            ) from error
        if beat.address != self._target_address:
            raise PeerError(
                f"heartbeat for {beat.address!r}, not {self._target_address!r}",
                step="read heartbeat",
                peer=target_id,
            )
        return Heartbeat(
            target_id,
            beat.born,
            beat.seq,
            beat.service,
            beat.state,
            beat.concurrency,
            beat.cold_remaining_ms / 1000,
        )
