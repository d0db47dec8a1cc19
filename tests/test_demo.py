"""The checks of the demo: each must be able to fail."""

import json

import pytest

from cranberryhold.caller import BufferedResponse
from cranberryhold.exceptions import NotRunError, OutcomeUnknownError
from tools.demo import DemoReport, FeedFollower, LinePoster


class ScriptedCaller:
    """Answers each post with the next scripted step and records its key."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.keys = []

    async def new_idempotency_key(self):
        return f"key-{len(self.keys)}"

    async def request(self, method, path, *, body, idempotency_key, deadline_s):
        self.keys.append((json.loads(body)["id"], idempotency_key))
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return BufferedResponse(step, (), b"")


@pytest.mark.parametrize(
    ("steps", "keys"),
    [
        ((200,), ["key-0"]),
        ((NotRunError("full"), 200), ["key-0", "key-1"]),
        ((OutcomeUnknownError("lost"), 200), ["key-0", "key-0"]),
        ((OutcomeUnknownError("lost"), NotRunError("full"), 200), ["key-0"] * 3),
    ],
)
async def test_a_line_gets_a_new_key_only_if_no_attempt_may_have_run(steps, keys):
    caller = ScriptedCaller(*steps)
    poster = LinePoster()
    await poster._post(caller, "line-1")
    assert caller.keys == [("line-1", key) for key in keys]
    assert poster.answered == ["line-1"]


@pytest.mark.parametrize(
    ("numbers", "faults"), [([4, 5, 6], 0), ([4, 6], 1), ([4, 5, 5, 6], 1), ([5, 4], 1)]
)
def test_gaps_and_repeats_are_counted(numbers, faults):
    assert FeedFollower(sequence_numbers=numbers).gaps_and_repeats == faults


def test_a_failed_check_fails_the_demo(capsys):
    report = DemoReport()
    report.check(True, "one")
    report.check(False, "two")
    assert report.failures == 1
    assert "FAILED two" in capsys.readouterr().out
