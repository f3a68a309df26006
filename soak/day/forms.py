"""Forms that a caller gives its requests, and targets their answers."""

from hornbeamstand_core.records import Record

# Forms of requests, with their weights.
PLAIN = "plain"
IN_PIECES = "in pieces"
CHUNKED = "chunked"
PAUSED_HEAD = "paused head"
PIPELINED = "pipelined"
ORDER_FORMS = {PLAIN: 10, IN_PIECES: 2, CHUNKED: 2, PAUSED_HEAD: 1}
QUERY_FORMS = {PLAIN: 10, PAUSED_HEAD: 1, PIPELINED: 2}
PIECE = b"x" * 400
N_PIECES_MAX = 12
# Number of bytes of a head after which its caller pauses.
HEAD_PART_BYTES = 30

# Forms of answers, with their weights.
FRAMED = "framed"
UNFRAMED = "unframed"
FOLLOWED = "followed"
EARLY = "early"
ANSWER_FORMS = {FRAMED: 14, UNFRAMED: 2, FOLLOWED: 2, EARLY: 2}
# Most bytes of a long answer, and the share of such answers.
LONG_ANSWER_BYTES = 30_000
LONG_ANSWER_SHARE = 0.2


class AnswerForm(Record):
    """How a target answers: one of ANSWER_FORMS, and the bytes added to the body."""

    __slots__ = ("name", "padding")

    def __init__(self, name, padding):
        self.name = name
        self.padding = padding


def draw_request_form(rng, is_order):
    """Return the form of a request."""
    forms = ORDER_FORMS if is_order else QUERY_FORMS
    return rng.choices(list(forms), list(forms.values()))[0]


def draw_answer_form(rng):
    """Return the AnswerForm of an answer."""
    name = rng.choices(list(ANSWER_FORMS), list(ANSWER_FORMS.values()))[0]
    is_long = rng.random() < LONG_ANSWER_SHARE
    return AnswerForm(name, b"y" * (rng.randrange(LONG_ANSWER_BYTES) * is_long))


def encode_request(form, head, is_order, rng):
    """Return the parts of a request, between which the caller pauses.

    ``head`` has the request line and the headers but those of the body's length.
    """
    body = []
    if is_order:
        is_whole = form in (PLAIN, PAUSED_HEAD)
        body = [PIECE] * (1 if is_whole else rng.randint(2, N_PIECES_MAX))
    if form == CHUNKED:
        parts = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in body]
        return [head + b"Transfer-Encoding: chunked\r\n\r\n", *parts, b"0\r\n\r\n"]
    head += b"Content-Length: %d\r\n\r\n" % sum(map(len, body))
    if form == PAUSED_HEAD:
        return [head[:HEAD_PART_BYTES], head[HEAD_PART_BYTES:] + b"".join(body)]
    return [head + b"".join(body[:1]), *body[1:]]
