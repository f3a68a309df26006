"""Tells the timeline of one request from the log lines of the VMs that had it.

Clocks of VMs may differ by seconds. A VM that handed the request over logs its answer
right after the peer logged the same one: that gives the difference of their clocks.
"""

from hornbeamstand_core.records import Record

ANSWERS = ("answer: sent", "answer: refused")
# Beliefs about what the request met are told if they are this recent.
CONTEXT_BEFORE_MS = 5000.0
CONTEXT_AFTER_MS = 500.0
# Events that concern a VM as a whole, whatever they name.
VM_EVENTS = ("store: away", "store: back", "domain: ", "config: ", "process: ")
SUBJECT_EVENTS = ("target: ", "peer: ", "route: eject")

# What the reason of a refusal says, for the last line.
REASON_MEANINGS = {
    "retry budget spent": "one target failed it, and repeats were at their limit",
    "waited too long": "no fast target had a free slot within its objective",
    "wait exceeds objective": "too many requests waited already",
    "no target": "discovery named no target that may get work",
    "no configuration": "this VM had just started and knew no route yet",
    "no route": "no route matches its host and path",
    "timed-out": "its time was over while a target worked on it",
    "broken-answer": "the connection ended without a whole answer",
    "connect-failed": "no connection could be made",
    "caller-gone": "its caller left",
    "cancelled": "its caller left",
    "peer is silent": "the VM that it was handed to fell silent",
    "no target took it": "every target that was tried refused it",
}


class Step(Record):
    """One line of the timeline; ``at_ms`` counts from its first line."""

    __slots__ = ("at_ms", "vm", "event", "text", "is_context")

    def __init__(self, at_ms, vm, event, text, is_context):
        self.at_ms = at_ms
        self.vm = vm
        self.event = event
        self.text = text
        self.is_context = is_context


class Timeline(Record):
    """What happened to one request; ``cause`` says why it ended as it did."""

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
    first_ms = min(line.at_ms + offsets_ms[line.vm] for line in request_lines)
    last_ms = max(line.at_ms + offsets_ms[line.vm] for line in request_lines)
    names = involved_names(request_lines)
    steps = []
    for line in lines:
        if line.vm not in offsets_ms:
            continue
        at_ms = line.at_ms + offsets_ms[line.vm] - first_ms
        is_about_request = line.request_id == request_id
        if is_about_request or is_context(line, names, at_ms, last_ms - first_ms):
            step = Step(
                at_ms, line.vm, line.event, line.describe(), not is_about_request
            )
            steps.append(step)
    # Clocks are set equal at the answers: the front VM's comes last.
    steps.sort(key=lambda step: (round(step.at_ms, 1), step.vm == front_vm))
    return Timeline(steps, find_cause(request_lines, front_vm))


def find_front_vm(request_lines):
    """Return the VM that the caller was connected to: the last one to answer."""
    forwarding_vms = [line.vm for line in request_lines if "peer" in line.fields]
    if forwarding_vms:
        return forwarding_vms[0]
    answering_vms = [line.vm for line in request_lines if line.event in ANSWERS]
    return (answering_vms or [request_lines[0].vm])[0]


def clock_offsets(request_lines, front_vm):
    """Return what to add to each VM's times to have them by the front VM's clock."""
    answered_ms = {}
    for line in request_lines:
        if line.event in ANSWERS:
            answered_ms[line.vm] = line.at_ms
    offsets_ms = {line.vm: 0.0 for line in request_lines}
    for vm in offsets_ms:
        if vm != front_vm and vm in answered_ms and front_vm in answered_ms:
            offsets_ms[vm] = answered_ms[front_vm] - answered_ms[vm]
    return offsets_ms


def involved_names(request_lines):
    """Return the targets and peers that the request met."""
    names = set()
    for line in request_lines:
        for field in ("target", "peer", "at"):
            value = line.fields.get(field)
            if value:
                names.add(value)
    return names


def is_context(line, names, at_ms, duration_ms):
    """Tell whether a line helps to explain what the request met."""
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
        line for line in request_lines if line.event in ANSWERS and line.vm == front_vm
    ]
    if not ends:
        return f"{front_vm} logged no answer: it may have ended, or lines were left out"
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
    """Return the reason of the VM that decided, if the request was handed over."""
    for line in request_lines:
        if line.event == "answer: refused" and "peer" not in line.fields:
            return line.fields.get("reason")
    return fields.get("reason")


def describe_timeline(timeline):
    """Return the lines that print a timeline."""
    lines = []
    for step in timeline.steps:
        mark = " " if step.is_context else "*"
        lines.append(
            f"{mark} {step.at_ms:9.1f} {step.vm:<20} {step.event}: {step.text}"
        )
    lines.append(f"= {timeline.cause}")
    return lines
