"""The platform's settings file."""

from cranberryhold.addresses import Address
from cranberryhold.documents import decode_json
from cranberryhold.exceptions import DECODE_ERRORS, AddressError, SettingsError
from cranberryhold.flows.admission.mode import AdmissionMode
from cranberryhold.flows.settings import (
    ColdStartAllowance,
    FlowSidecarSettings,
    MemberSettings,
)
from cranberryhold.operating_system import ENVIRONMENT
from cranberryhold.structs import Struct, field

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

PATH_VARIABLE = "CRANBERRYHOLD_BOOT"
ADMISSION_VARIABLE = "CRANBERRYHOLD_ADMISSION"
# Must match the port in the deployment files.
METRICS_PORT = 9464
BITS_PER_BYTE = 8


class _Bounds(Struct, rename="camel"):
    grace_period_s: float
    max_flow_s: float
    reuse_after_s: float
    config_apply_ms: float = 3000.0
    # Time after the end of a disturbance from which the bounds apply again.
    stable_window_ms: float = 4000.0
    # Time within which an evacuation must be in effect; absent if there are none.
    evacuate_ms: float | None = None
    # Factor and addition to the rate that a cold target bears; absent if not limited.
    cold_over: float | None = None
    cold_slack: float | None = None


class _Platform(Struct, rename="camel"):
    address: str


class _Limits(Struct, rename="camel"):
    # Capacity of the machine's link in each direction, in Mbit/s.
    link_mbps: float | None = None


class PlatformSettings(Struct, rename="camel"):
    """The used fields of the settings file."""

    node_name: str
    ip: str
    zone: str
    listen_addrs: dict[str, str]
    internal_ports: list[int]
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = field(default_factory=_Limits)
    # Addresses of the ``controlPlane`` listeners of entry instances.
    seed_addrs: list[str] = field(default_factory=list)
    heartbeat_interval_ms: int = 1000
    # Address on which the target receives packets.
    app: str | None = None
    service: str | None = None


def read_settings(environment: "Mapping[str, str]" = ENVIRONMENT) -> PlatformSettings:
    """Return the settings from the file that the environment names.

    :raises SettingsError: naming the file and the invalid field.
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            return decode_json(file.read(), PlatformSettings)
    except (OSError, *DECODE_ERRORS) as error:
        raise SettingsError(
            f"{PATH_VARIABLE}={path!r}: {error}; set it to a readable settings file",
            step="read settings",
        ) from error


def read_admission_mode(
    environment: "Mapping[str, str]" = ENVIRONMENT,
) -> AdmissionMode:
    """Return the setting for admission control, which the deploy file may set.

    :raises SettingsError: if it is none of the modes.
    """
    text = environment.get(ADMISSION_VARIABLE, AdmissionMode.AUTO.value)
    try:
        return AdmissionMode(text)
    except ValueError as error:
        modes = ", ".join(mode.value for mode in AdmissionMode)
        raise SettingsError(
            f"{ADMISSION_VARIABLE}={text!r}: must be one of {modes}",
            step="read settings",
        ) from error


def member_settings(settings: PlatformSettings) -> MemberSettings:
    """Return the settings that all flow daemons have."""
    return MemberSettings(
        name=settings.node_name,
        zone=settings.zone,
        packet_address=_listen_address(settings, "packetAddr"),
        peer_address=Address(settings.ip, settings.internal_ports[0]),
        ready_address=_listen_address(settings, "ready"),
        metrics_address=Address(settings.ip, METRICS_PORT),
        store=_address(settings.platform.address, "platform.address"),
        seeds=tuple(_address(seed, "seedAddrs") for seed in settings.seed_addrs),
        stop_limit_s=settings.bounds.grace_period_s,
        max_flow_s=settings.bounds.max_flow_s,
        configuration_change_s=settings.bounds.config_apply_ms / 1000,
        configuration_recovery_s=settings.bounds.stable_window_ms / 1000,
        status_address=_status_address(settings),
        link_bytes_s=_link_bytes_s(settings),
        evacuation_limit_s=_evacuation_limit_s(settings.bounds),
    )


def sidecar_settings(settings: PlatformSettings) -> FlowSidecarSettings:
    """Return the settings of the sidecar of a target."""
    return FlowSidecarSettings(
        member=member_settings(settings),
        outbound_address=_listen_address(settings, "outbound"),
        heartbeat_address=_listen_address(settings, "controlPlane"),
        target_address=_address(settings.app or "", "app"),
        service=settings.service or "",
        heartbeat_interval_s=settings.heartbeat_interval_ms / 1000,
        address_reuse_s=settings.bounds.reuse_after_s,
        cold_start=_cold_start(settings.bounds),
    )


def _evacuation_limit_s(bounds: _Bounds) -> float | None:
    return bounds.evacuate_ms / 1000 if bounds.evacuate_ms is not None else None


def _cold_start(bounds: _Bounds) -> ColdStartAllowance | None:
    if bounds.cold_over is None or bounds.cold_slack is None:
        return None
    return ColdStartAllowance(bounds.cold_over, bounds.cold_slack)


def _status_address(settings: PlatformSettings) -> Address | None:
    """Return the second of the internal ports, if there is one."""
    first, last = settings.internal_ports[0], settings.internal_ports[-1]
    return Address(settings.ip, first + 1) if first < last else None


def _link_bytes_s(settings: PlatformSettings) -> float | None:
    megabits = settings.limits.link_mbps
    return megabits * 1e6 / BITS_PER_BYTE if megabits is not None else None


def _listen_address(settings: PlatformSettings, name: str) -> Address:
    return _address(settings.listen_addrs.get(name, ""), f"listenAddrs.{name}")


def _address(text: str, field: str) -> Address:
    try:
        return Address.parse(text)
    except AddressError as error:
        raise SettingsError(f"{field}: {error}", step="read settings") from error
