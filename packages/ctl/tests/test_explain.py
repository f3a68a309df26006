"""A request's story from recorded logs, as the operations page tells it."""

import subprocess
import sys
from pathlib import Path

import pytest
from hornbeamstand_ctl.explain import describe_story, explain
from hornbeamstand_ctl.log_lines import parse_line, read_logs

LOGS = Path(__file__).resolve().parents[3] / "tests/logs"


def story_of(name, request_id):
    found = read_logs([LOGS / name]).ok_value
    assert found.n_unreadable == 0
    return explain(found.lines, request_id)


def test_a_request_that_waited_is_traced_to_the_domain_that_was_out():
    story = story_of("waited.log", "6392be85827f7d60")
    assert story.cause.startswith("503 after 338 ms, not-run: waited too long")
    told = [(step.event, step.is_context) for step in story.steps]
    assert ("domain: out", True) in told
    assert ("route: wait", False) in told
    assert told[-1] == ("answer: refused", False)


def test_a_request_that_timed_out_is_traced_to_its_target_and_the_budget():
    story = story_of("timed-out.log", "035e6fd46f78f690")
    assert story.cause.startswith("504 after 1192 ms, outcome-unknown: timed-out")
    assert "sent 1 times" in story.cause
    texts = [step.text for step in story.steps if step.event == "route: no repeat"]
    assert all("retry budget spent" in text for text in texts)
    assert len(texts) == 3


def test_a_broken_answer_is_traced_to_both_targets():
    story = story_of("broken-answer.log", "04719c69320120dc")
    assert story.cause.startswith("502 after 537 ms, outcome-unknown: broken-answer")
    sends = [step for step in story.steps if step.event == "route: send"]
    assert len(sends) == 2


def test_clocks_of_vms_are_set_equal_by_their_answers():
    """The VMs' clocks differ by 1.8 s in this log."""
    story = story_of("timed-out.log", "035e6fd46f78f690")
    ends = [step for step in story.steps if step.event == "answer: refused"]
    assert len({step.vm for step in ends}) == 2
    assert ends[0].at_ms == ends[1].at_ms
    assert "peer=" in ends[-1].text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "not a line",
        "{",
        "[]",
        '{"vm": "a"}',
        '{"vm": "a", "time_s": "now", "event": "x"}',
        '{"vm": "a", "time_s": 1.0, "event"',
    ],
)
def test_what_is_no_log_line_is_none(text):
    assert parse_line(text) is None


def test_what_a_collector_puts_before_a_line_is_passed_over():
    line = parse_line('  34.2 vm-1 {"vm":"a","time_s":1.5,"event":"x","request":"r~7"}')
    assert (line.vm, line.at_ms, line.request_id) == ("a", 1500.0, "r")


def test_a_vm_that_logged_no_end_is_named():
    text = '{"vm":"a","time_s":1.0,"event":"route: send","request":"r~1","target":"t"}'
    story = explain([parse_line(text)], "r")
    assert story.cause.startswith("a logged no answer")


def run(*words):
    """Run the command in a process of its own: it patches the standard library."""
    code = "from hornbeamstand_ctl.main import main; main()"
    command = [sys.executable, "-c", code, "explain", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_the_command_prints_the_story():
    done = run("035e6fd46f78f690", str(LOGS / "timed-out.log"))
    assert done.returncode == 0
    story = story_of("timed-out.log", "035e6fd46f78f690")
    assert done.stdout.splitlines() == describe_story(story)


def test_an_unknown_id_and_a_missing_file_are_errors():
    assert run("nobody", str(LOGS / "timed-out.log")).returncode == 1
    missing = run("nobody", str(LOGS / "none.log"))
    assert missing.returncode == 2
    assert "none.log" in missing.stderr
