"""Builds the timeline of one request from the log lines of the VMs that handled it.

The clocks of VMs may differ by seconds. A VM that forwarded the request logs the answer
right after the peer logged the same answer, so the difference of the two log times is
the offset between their clocks.
"""

from hornbeamstand_core.records import Record

# Events with which a VM logs the end of a request.
ANSWER_EVENTS = ("answer: sent", "answer: refused")
# Periods before the first and after the last line of the request from which the
# timeline includes other events: state changes of VMs and of the involved targets and
# peers.
CONTEXT_BEFORE_MS = 5000.0
CONTEXT_AFTER_MS = 500.0
# Prefixes of events that concern a VM as a whole; they are included whatever they name.
VM_EVENTS = (
    "store: away",
    "store: back",
    "store: new era",
    "store: known before",
    "domain: ",
    "config: ",
    "rollout: ",
    "process: ",
)
# Prefixes of events that are included if they name an involved target or peer.
SUBJECT_EVENTS = ("target: ", "peer: ", "route: eject")

# Explanation of each refusal reason, for the last line of the output.
REASON_MEANINGS = {
    "retry budget spent": "a target failed it, and the retry budget was used up",
    "waited too long": "no fast target had a free slot within its objective",
    "wait exceeds objective": "too many requests waited already",
    "overtaken": "requests that go first came while it waited",
    "no target": "no target may receive requests, or this VM can't read which do",
    "no configuration": "this VM had just started and had no configuration yet",
    "no newest configuration": "a newer version may have a route that matches it",
    "no route": "no route matches its host and path",
    "no key": "its route needs a key, and it showed none",
    "malformed key": "what it showed as its key can't be read",
    "unknown key": "no organisation of the configuration in force has its key",
    "timed-out": "its time was over while a target worked on it",
    "broken-answer": "the connection ended without a whole answer",
    "connect-failed": "no connection could be made",
    "caller-gone": "the caller disconnected",
    "cancelled": "the caller disconnected",
    "peer is silent": "the VM that it was forwarded to sent no more heartbeats",
    "VM is stopping": "it might have lasted beyond the end of a planned stop",
    "no target took it": "every target that was tried refused it",
}


class Step(Record):
    """One log line on the timeline.

    ``at_ms`` counts from the first line of the request. ``is_context`` is set if the
    line is not about the request itself.
    """

    __slots__ = ("at_ms", "vm", "event", "text", "is_context")

    def __init__(self, at_ms, vm, event, text, is_context):
        self.at_ms = at_ms
        self.vm = vm
        self.event = event
        self.text = text
        self.is_context = is_context


class Timeline(Record):
    """What happened to one request; ``cause`` is a sentence on how it ended and why."""

    __slots__ = ("steps", "cause")

    def __init__(self, steps, cause):
        self.steps = steps
        self.cause = cause


def explain(lines, request_id):
    """Return the Timeline of a request, or None if no line is about it."""
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return None
    front_vm = find_front_vm(request_lines)
    offsets_ms = clock_offsets(request_lines, front_vm)
    first_at_ms = min(line.at_ms + offsets_ms[line.vm] for line in request_lines)
    last_at_ms = max(line.at_ms + offsets_ms[line.vm] for line in request_lines)
    names = involved_names(request_lines)
    steps = []
    for line in lines:
        if line.vm not in offsets_ms:
            continue
        at_ms = line.at_ms + offsets_ms[line.vm] - first_at_ms
        is_about_request = line.request_id == request_id
        if is_about_request or is_context(line, names, at_ms, last_at_ms - first_at_ms):
            step = Step(
                at_ms, line.vm, line.event, line.describe(), not is_about_request
            )
            steps.append(step)
    # With aligned clocks the answers of all VMs have the same time. The answer of the
    # front VM comes last.
    steps.sort(key=lambda step: (round(step.at_ms, 1), step.vm == front_vm))
    return Timeline(steps, find_cause(request_lines, front_vm))


def find_front_vm(request_lines):
    """Return the VM that the caller was connected to.

    If the request was forwarded, that is the VM whose log lines name a peer. Otherwise
    it is the VM that logged the answer.
    """
    forwarding_vms = [line.vm for line in request_lines if "peer" in line.fields]
    if forwarding_vms:
        return forwarding_vms[0]
    answering_vms = [line.vm for line in request_lines if line.event in ANSWER_EVENTS]
    return (answering_vms or [request_lines[0].vm])[0]


def clock_offsets(request_lines, front_vm):
    """Return a dict of VM to the milliseconds by which the front VM's clock is ahead.

    The offset is 0 for a VM that logged no answer.
    """
    answered_at_ms = {}
    for line in request_lines:
        if line.event in ANSWER_EVENTS:
            answered_at_ms[line.vm] = line.at_ms
    offsets_ms = {line.vm: 0.0 for line in request_lines}
    for vm in offsets_ms:
        if vm != front_vm and vm in answered_at_ms and front_vm in answered_at_ms:
            offsets_ms[vm] = answered_at_ms[front_vm] - answered_at_ms[vm]
    return offsets_ms


def involved_names(request_lines):
    """Return the names of the targets and peers that handled the request."""
    names = set()
    for line in request_lines:
        for field in ("target", "peer", "at"):
            value = line.fields.get(field)
            if value:
                names.add(value)
    return names


def is_context(line, names, at_ms, duration_ms):
    """Return whether a line that is not about the request helps to explain it."""
    if not -CONTEXT_BEFORE_MS <= at_ms <= duration_ms + CONTEXT_AFTER_MS:
        return False
    if line.event.startswith(VM_EVENTS):
        return True
    if not line.event.startswith(SUBJECT_EVENTS):
        return False
    return line.fields.get("subject") in names or line.fields.get("target") in names


def find_cause(request_lines, front_vm):
    """Return one sentence on how the request ended, and why."""
    ends = [
        line
        for line in request_lines
        if line.event in ANSWER_EVENTS and line.vm == front_vm
    ]
    if not ends:
        return (
            f"{front_vm} logged no answer: its process may have ended,"
            " or log lines were left out"
        )
    fields = ends[-1].fields
    status = fields.get("status")
    elapsed_ms = fields.get("elapsed_ms")
    n_sent = max((line.fields.get("n_sent", 0) for line in request_lines), default=0)
    if ends[-1].event == "answer: sent":
        target = fields.get("target")
        return f"{target} answered {status} after {elapsed_ms} ms, sent {n_sent} times"
    reason = deciding_reason(request_lines, fields)
    meaning = REASON_MEANINGS.get(reason, "see the step that it names")
    return (
        f"{status} after {elapsed_ms} ms, {fields.get('certainty')}:"
        f" {reason} ({meaning}), sent {n_sent} times"
    )


def deciding_reason(request_lines, fields):
    """Return the reason of the VM that refused the request itself.

    A VM that forwarded the request only passes on the peer's refusal.
    """
    for line in request_lines:
        if line.event == "answer: refused" and "peer" not in line.fields:
            return line.fields.get("reason")
    return fields.get("reason")


def describe_timeline(timeline):
    """Return a timeline as lines of text; ``*`` marks those about the request."""
    lines = []
    for step in timeline.steps:
        mark = " " if step.is_context else "*"
        lines.append(
            f"{mark} {step.at_ms:9.1f} {step.vm:<20} {step.event}: {step.text}"
        )
    lines.append(f"= {timeline.cause}")
    return lines
