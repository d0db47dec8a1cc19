"""Fabric: packets are sprayed, and replies come from the service address."""

import random

from cranberryhold.addresses import Address
from emulator.fabric import Fabric, Impairment
from tests.sockets import LOOPBACK_IP, UdpSocket, free_port
from tests.waiting import until


async def test_packets_are_sprayed_and_replies_come_from_the_service() -> None:
    service = Address(LOOPBACK_IP, free_port())
    with UdpSocket() as client, UdpSocket("127.0.0.1", service.port) as entry:
        impairment = Impairment(rng=random.Random(3))
        fabric = Fabric([service], ["127.0.0.1", "127.0.0.2"], impairment)
        async with fabric.running():
            # No socket listens on 127.0.0.2, so about half of the packets are lost.
            for _ in range(40):
                client.send(b"ping", service)
            _, upstream = await entry.receive()
            entry.send(b"pong", upstream)
            assert await client.receive() == (b"pong", service)
            await until(lambda: fabric.packets_sent.total() == 40)
            assert min(fabric.packets_sent.values()) > 5
            fabric.execute_command("remove 127.0.0.2")
            fabric.execute_command("add 127.0.0.3")
            fabric.execute_command("remove 127.0.0.3")
            client.send(b"last", service)
            while (await entry.receive())[0] != b"last":
                pass


async def test_same_seed_loses_the_same_packets() -> None:
    def deliveries(seed: int) -> list[int]:
        impairment = Impairment(loss=0.3, rng=random.Random(seed))
        delivered: list[int] = []
        for number in range(50):
            impairment.schedule(lambda n=number: delivered.append(n))
        return delivered

    assert deliveries(5) == deliveries(5) != deliveries(6)
    assert 20 < len(deliveries(5)) < 50


async def test_control_datagrams_are_sprayed_and_answered() -> None:
    control_address = Address(LOOPBACK_IP, free_port())
    with UdpSocket() as member, UdpSocket() as control:
        fabric = Fabric(
            [], [], Impairment(delay_ms=1), {control_address: [control.address]}
        )
        async with fabric.running():
            member.send(b"hello", control_address)
            data, source = await control.receive()
            control.send(data.upper(), source)
            assert await member.receive() == (b"HELLO", control_address)


async def test_entry_instance_sees_a_distinct_address_per_client() -> None:
    service = Address(LOOPBACK_IP, free_port())
    with (
        UdpSocket() as first,
        UdpSocket() as second,
        UdpSocket("127.0.0.1", service.port) as entry,
    ):
        async with Fabric([service], ["127.0.0.1"], Impairment()).running():
            sources = set()
            for client in (first, second, first):
                client.send(b"x", service)
                sources.add((await entry.receive())[1])
    assert len(sources) == 2
