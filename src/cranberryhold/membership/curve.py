"""CURVE security of ZeroMQ sockets, shared by control calls and peer requests.

All members of a deployment share one CURVE key pair per key of the ring, so only
holders of the ring can connect. A server listens with the primary key; a client
tries its keys in order, so that connections succeed during a key rotation.
"""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils.monitor import parse_monitor_message
from zmq.utils.z85 import encode as z85_encode

from cranberryhold.addresses import Address
from cranberryhold.exceptions import PeerError
from cranberryhold.keys import KeyRing

_KEY_LABEL = b"curve"
_FAILURE_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
    zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
    zmq.EVENT_HANDSHAKE_FAILED_AUTH,
    zmq.EVENT_DISCONNECTED,
    zmq.EVENT_CLOSED,
)


@dataclass(frozen=True, slots=True)
class CurveKeyPair:
    """CURVE key pair in the Z85 encoding that ZeroMQ expects."""

    public: bytes
    secret: bytes = field(repr=False)


def derive_key_pair(keys: KeyRing, key_id: int) -> CurveKeyPair:
    """Derive a CURVE key pair of the deployment from a key of the ring."""
    secret = z85_encode(keys.derive(_KEY_LABEL, key_id, 32))
    return CurveKeyPair(zmq.curve_public(secret), secret)


def derive_key_pairs(keys: KeyRing) -> list[CurveKeyPair]:
    """Return the key pairs of all keys of the ring, the primary one first."""
    return [derive_key_pair(keys, key_id) for key_id in keys.key_ids]


class _AllowedKeys:
    """Credentials provider that accepts only the given key pairs."""

    def __init__(self, key_pairs: Iterable[CurveKeyPair]) -> None:
        self._public = {key_pair.public for key_pair in key_pairs}

    def callback(self, domain: str, key: bytes) -> bool:
        return key in self._public


@contextmanager
def curve_authentication(
    context: zmq.asyncio.Context, domain: str, key_pairs: Iterable[CurveKeyPair]
) -> Iterator[None]:
    """Let only holders of these key pairs connect to the servers of a domain."""
    authenticator = AsyncioAuthenticator(context)
    authenticator.start()
    try:
        authenticator.configure_curve_callback(domain, _AllowedKeys(key_pairs))
        yield
    finally:
        authenticator.stop()


def bind_server(
    socket: zmq.asyncio.Socket,
    key_pair: CurveKeyPair,
    domain: str,
    address: Address,
    *,
    step: str,
) -> Address:
    """Make a socket a CURVE server and bind it; return the bound address.

    :param address: address to listen on; port 0 lets the operating system choose.
    :raises PeerError: if the address can't be bound.
    """
    socket.curve_server = True
    socket.curve_publickey, socket.curve_secretkey = key_pair.public, key_pair.secret
    socket.zap_domain = domain.encode()
    try:
        socket.bind(f"tcp://{address.ip}:{address.port or '*'}")
    except zmq.ZMQError as error:
        raise PeerError(
            f"cannot bind TCP: {error.strerror}; is the port in use?",
            step=step,
            peer=str(address),
        ) from error
    return Address.parse(socket.last_endpoint.decode().removeprefix("tcp://"))


async def connect_client(
    socket: zmq.asyncio.Socket,
    monitor: zmq.asyncio.Socket,
    key_pair: CurveKeyPair,
    address: Address,
    timeout_s: float,
) -> bool:
    """Connect a socket with a key pair; return whether the handshake succeeded.

    :param monitor: monitor socket of ``socket``.
    :param timeout_s: seconds for the handshake.
    """
    socket.curve_publickey, socket.curve_secretkey = key_pair.public, key_pair.secret
    socket.curve_serverkey = key_pair.public
    try:
        async with asyncio.timeout(timeout_s):
            socket.connect(f"tcp://{address}")
            while True:
                frames = await monitor.recv_multipart()
                event = parse_monitor_message(frames)["event"]
                if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                    return True
                if event in _FAILURE_EVENTS:
                    return False
    except TimeoutError:
        return False
