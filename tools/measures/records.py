"""Memory of the idempotency records, which prevent a request from running twice."""

import tracemalloc

from cranberryhold.addresses import Address
from cranberryhold.clock import SystemClock
from cranberryhold.datapath.connection_ids import TargetRef
from cranberryhold.requests.idempotency import (
    IdempotencyKey,
    RecordTable,
    StoredResponse,
)
from tools.tables import Table
from tools.virtual_time import run_virtual

_RECORD_COUNT = 10_000
_RESPONSE_BODY_BYTES = (0, 200, 1000, 4000)


async def _bytes_per_record(body_bytes: int) -> float:
    clock = SystemClock()
    target = TargetRef(Address("10.0.0.1", 4433), 1, 1)
    table = RecordTable(clock)
    tracemalloc.start()
    try:
        for number in range(_RECORD_COUNT):
            key = IdempotencyKey(target, number.to_bytes(8), clock.wall())
            record = table.create(key, f"POST /lines/{number}")
            record.digest = number.to_bytes(16)
            headers = (("content-type", f"application/json; n={number}"),)
            response = StoredResponse(201, headers, bytes(body_bytes))
            table.mark_answered(record, response)
        return tracemalloc.get_traced_memory()[0] / _RECORD_COUNT
    finally:
        tracemalloc.stop()


def tables(seed: int) -> list[Table]:
    """Return the memory per record; the seed has no effect."""
    table = Table(
        f"memory per record, {_RECORD_COUNT:,} records", ("answer bytes", "bytes")
    )
    for size in _RESPONSE_BODY_BYTES:
        table.add(size, round(run_virtual(_bytes_per_record(size))))
    return [table]
