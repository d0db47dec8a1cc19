"""Callers and targets whose sequence numbers advance with the bytes of a flow."""

import asyncio
from dataclasses import dataclass

from cranberryhold.flows.segments import Endpoint, Segment, sequence_distance
from cranberryhold.platform.packets import ACK, FIN, RST
from emulator.flow_callers import CallerFlow, CallerHost, Outcome
from emulator.flow_target import CONCURRENCY, PROCESSING_TIME_S, FlowTarget

ANSWER_BYTES = 200


@dataclass
class Flow:
    """A flow at its target.

    :ivar initial_sequence: sequence number of the SYN+ACK.
    :ivar next_sequence: sequence number of the next byte to send.
    :ivar expected: sequence number of the next byte from the caller, None before it.
    :ivar answer: newest answer, as sequence number and bytes.
    """

    initial_sequence: int
    is_open: bool = False
    is_closed: bool = False
    next_sequence: int = 0
    expected: int | None = None
    answer: tuple[int, bytes] | None = None

    def __post_init__(self) -> None:
        self.next_sequence = (self.initial_sequence + 1) % 2**32


class Target(FlowTarget):
    """A target that sends each byte of a flow at its own sequence number.

    While its machine is frozen, it neither reads nor sends.
    """

    frozen = False
    # Seconds for a request, None for the times of the stand-in without a limit on the
    # requests that run at once.
    work_s: float | None = None

    def _read(self) -> None:
        if not self.frozen:
            super()._read()

    def _send(self, packet: bytes) -> None:
        if not self.frozen:
            super()._send(packet)

    async def _post(self, operation: str, body: bytes) -> bool:
        return not self.frozen and await super()._post(operation, body)

    def _open(
        self, segment: Segment, packet: bytes, key: bytes, flow: Flow | None
    ) -> None:
        if flow is None:
            self._flows[key] = Flow(self._random.getrandbits(32))
        super()._open(segment, packet, key, self._flows[key])

    def _handle_established(self, segment: Segment, flow: Flow) -> None:
        first = flow.initial_sequence + 1
        sent = sequence_distance(flow.next_sequence, first)
        if sequence_distance(segment.acknowledgment, first) > sent:
            # The caller has acknowledged another target's SYN+ACK.
            return
        flow.is_open = True
        if flow.expected is None:
            flow.expected = segment.sequence
        end = segment.sequence + segment.length
        if flow.is_closed and segment.length:
            self._answer(segment, RST, flow.next_sequence, end)
        elif segment.fin:
            flow.is_closed = True
            self._answer(segment, FIN | ACK, flow.next_sequence, end + 1)
        elif segment.length and segment.sequence == flow.expected:
            flow.expected = end % 2**32
            self._run(segment, flow)
        elif segment.length and flow.answer is not None:
            sequence, body = flow.answer
            self._answer(segment, ACK, sequence, flow.expected, body)

    def _run(self, segment: Segment, flow: Flow) -> None:
        """Run a request when a slot is free, in the order of arrival."""
        loop = asyncio.get_running_loop()
        delay_s = self._random.uniform(*PROCESSING_TIME_S)
        if self.work_s is not None:
            now = loop.time()
            work_s = self.work_s * self._random.uniform(0.5, 1.5)
            free_at = self.__dict__.setdefault("_free_at", [0.0] * CONCURRENCY)
            slot = min(range(CONCURRENCY), key=free_at.__getitem__)
            free_at[slot] = max(now, free_at[slot]) + work_s
            delay_s = free_at[slot] - now
        loop.call_later(delay_s, self._send_response, segment, flow)

    def _send_response(self, segment: Segment, flow: Flow) -> None:
        if self.alive:
            body = f"{segment.sequence} ".encode().ljust(ANSWER_BYTES, b".")
            flow.answer = flow.next_sequence, body
            flow.next_sequence = (flow.next_sequence + len(body)) % 2**32
            self._answer(segment, ACK, flow.answer[0], flow.expected, body)


class Caller(CallerFlow):
    """A flow whose caller acknowledges the bytes that it has received."""

    async def _receive_answer(self, timeout_s: float) -> Outcome | None:
        expected = f"{self._sequence % 2**32} ".encode()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    segment, data = await self._received.get()
                    if segment.rst:
                        return Outcome.RESET
                    is_new = segment.sequence == self._acknowledgment % 2**32
                    if data.startswith(expected) and is_new:
                        self._acknowledgment += len(data)
                        return Outcome.ANSWERED
        except TimeoutError:
            return None


def new_flow(host: CallerHost, service: Endpoint) -> Caller:
    """Return a flow from a new port, not opened yet."""
    flow = host.flow(service)
    # The host makes flows of its own kind, with the same state.
    flow.__class__ = Caller
    return flow
