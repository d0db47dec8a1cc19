"""Soak of the QUIC path: each check detects its violation, and a short run passes."""

import pytest

from tools.request_soak.faults import Interval
from tools.request_soak.load import LineRecord, Load, Outcome
from tools.request_soak.run import (
    AFTER_EFFECT_S,
    RECOVERY_S,
    check_answers,
    check_executions,
    check_planned_work,
    check_recovery,
    run_request_soak,
)


def record(outcome, *, line="a", started_at=10.0):
    return LineRecord(line, started_at, started_at + 1.0, outcome, "detail")


@pytest.mark.parametrize(
    ("outcome", "count", "name"),
    [
        (Outcome.ANSWERED, 2, "TWICE"),
        (Outcome.UNKNOWN, 2, "TWICE"),
        (Outcome.NOT_RUN, 1, "NOT-RUN"),
        (Outcome.ANSWERED, 0, "LOST"),
    ],
)
def test_an_execution_that_contradicts_the_outcome_is_a_violation(outcome, count, name):
    (violation,) = check_executions([record(outcome)], {"a": count})
    assert violation.startswith(name)


def test_executions_that_agree_with_the_outcomes_are_no_violation():
    lines = [
        record(Outcome.ANSWERED),
        record(Outcome.NOT_RUN, line="b"),
        record(Outcome.UNKNOWN, line="c"),
        record(Outcome.UNKNOWN, line="d"),
    ]
    assert check_executions(lines, {"a": 1, "c": 1}) == []


def test_an_answer_of_another_request_is_a_violation():
    load = Load(mismatched=["a: 200 b"])
    load.feed.sequence_numbers += [1, 2]
    assert [text[:5] for text in check_answers(load)] == ["MIXED"]


@pytest.mark.parametrize("sequence_numbers", [[], [1, 3], [1, 1]])
def test_a_feed_with_a_gap_or_a_repeat_is_a_violation(sequence_numbers):
    load = Load()
    load.feed.sequence_numbers += sequence_numbers
    assert [text[:4] for text in check_answers(load)] == ["FEED"]


def test_a_line_without_outcome_is_a_violation_unless_a_fault_was_near():
    lines = [record(Outcome.UNKNOWN)]
    assert check_planned_work(lines, [])
    assert check_planned_work(lines, [Interval(11.5, 12.0)])
    assert check_planned_work(lines, [Interval(0.0, 10.0 - AFTER_EFFECT_S)])
    assert check_planned_work(lines, [Interval(0.0, 10.1 - AFTER_EFFECT_S)]) == []
    assert check_planned_work(lines, [Interval(10.5, 12.0)]) == []


def test_lines_that_are_not_answered_after_the_recovery_are_a_violation():
    late = RECOVERY_S + 10.0
    assert check_recovery([], faults_ended_at=10.0)
    assert check_recovery([record(Outcome.UNKNOWN, started_at=late)], 10.0)
    assert check_recovery([record(Outcome.ANSWERED, started_at=late)], 10.0) == []


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_short_run_passes(seed):
    # Seed 1 has planned stops only; seed 2 also pauses, kills and lost answers.
    assert await run_request_soak(seed, 4.0, print) == []
