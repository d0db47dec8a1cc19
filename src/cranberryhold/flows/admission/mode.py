"""Decides whether a configuration calls for admission control."""

from __future__ import annotations

from cranberryhold.choices import Choice
from cranberryhold.flows.route_table import Route

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable


class AdmissionMode(Choice):
    """Setting for admission control and what is based on it.

    AUTO follows the configuration, see :func:`calls_for_admission`.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


def calls_for_admission(mode: AdmissionMode, routes: Iterable[Route]) -> bool:
    """Return whether openings are admitted by the terms of their routes.

    Without the setting, they are if the routes state priorities that differ, and
    latency objectives and deadlines, and none of them is for uploads: a deployment with
    uploads sheds load by the entry instances' links instead, as an upload is long after
    its opening, and keeps the behaviour that it has been measured with.
    """
    if mode is not AdmissionMode.AUTO:
        return mode is AdmissionMode.ON
    routes = list(routes)
    priorities = {
        route.priority
        for route in routes
        if route.objective_s is not None and route.deadline_s is not None
    }
    return len(priorities) > 1 and not any(route.bulk for route in routes)
