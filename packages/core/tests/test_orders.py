"""The order book: crashes between each two steps, resends, moves, lost history."""

import pytest

from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ServiceSpec,
    TargetSpec,
)
from hornbeamstand_core.controllers.orders import OrderBook, order_holders
from hornbeamstand_core.messages import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    Answer,
    OrderCompleted,
    OrderRedirect,
    OrderReserved,
    RecordOutcome,
    Refusal,
    ReserveOrder,
)
from hornbeamstand_core.order_messages import (
    EpochAdopted,
    OrdersReceived,
    OrdersSent,
    SendOrders,
)
from hornbeamstand_core.view import Member, View

KEY = "k1"
DEADLINE_MS = 1000.0


class Books:
    """Order books of several VMs; copies are delivered unless a VM is down."""

    def __init__(self, n_vms=4):
        spec = ServiceSpec({"t": TargetSpec("127.0.0.1:1", "fd0", 3)})
        domains = {f"fd{i}": FailureDomainSpec() for i in range(3)}
        self.configuration = Configuration({"shop": spec}, domains)
        self.spec = spec
        self.now_ms = 0.0
        self.down = set()
        self.replies = {}
        self.n_requests = 0
        members = {
            f"vm{i}": Member(f"vm{i}", "", "", f"fd{i % 3}") for i in range(n_vms)
        }
        self.view = View(1, members)
        self.books = {name: OrderBook(name, 0.0) for name in members}
        self.adopt(self.view)

    def adopt(self, view):
        self.view = view
        epoch = EpochAdopted(view, self.configuration)
        out = []
        for name in view.members:
            book = self.books.setdefault(name, OrderBook(name, self.now_ms))
            if name not in self.down:
                out += [(name, m) for m in book.adopt_epoch(epoch, self.now_ms)]
        self.deliver(out)

    def holders(self):
        return order_holders(self.view, "shop", self.spec, KEY)

    def deliver(self, out):
        for sender, message in out:
            if isinstance(message, DeferredReply):
                self.replies[message.request_id] = message.reply
            elif isinstance(message, SendOrders):
                self.copy(sender, message)

    def copy(self, sender, sent):
        is_stored = sent.peer_id not in self.down
        if is_stored:
            received = OrdersReceived(
                sender, sent.orders, sent.transfer_version, sent.is_history_lost
            )
            out = self.books[sent.peer_id].note_received(received, self.now_ms)
            self.deliver([(sent.peer_id, m) for m in out])
        end = OrdersSent(sent, is_stored)
        out = self.books[sender].note_sent(end, self.now_ms)
        self.deliver([(sender, m) for m in out])

    def reserve(self, vm, n_hops=1, is_first_attempt=False):
        self.n_requests += 1
        name = f"r{self.n_requests}"
        message = ReserveOrder(
            "shop", KEY, name, self.now_ms + DEADLINE_MS, n_hops, is_first_attempt
        )
        out = self.books[vm].reserve(message, self.now_ms)
        self.deliver([(vm, m) for m in out])
        return name

    def settle(self, vm, outcome):
        out = self.books[vm].record_outcome(
            RecordOutcome("shop", KEY, outcome), self.now_ms
        )
        self.deliver([(vm, m) for m in out])

    def crash(self, *names):
        self.down |= set(names)
        self.adopt(self.view.without(names, is_clean=False))


def certainty(reply):
    return reply.certainty if isinstance(reply, Refusal) else type(reply).__name__


def test_first_runs_and_resends_wait_then_get_its_answer():
    books = Books()
    home = books.holders()[0]
    first = books.reserve(home)
    again = books.reserve(home)
    assert isinstance(books.replies[first], OrderReserved)
    assert again not in books.replies
    books.settle(home, Answer(200, "receipt"))
    assert books.replies[again] == OrderCompleted(Answer(200, "receipt"))


def test_other_vms_point_to_the_home():
    books = Books()
    home, *others = books.holders()
    for vm in others:
        name = books.reserve(vm, n_hops=0)
        assert books.replies[name] == OrderRedirect(home)


def test_not_run_forgets_the_order_at_both_holders():
    books = Books()
    home, second = books.holders()[:2]
    books.reserve(home)
    assert len(books.books[second]) == 1
    books.settle(home, Refusal("shed", NOT_RUN))
    assert len(books.books[home]) == len(books.books[second]) == 0
    assert isinstance(books.replies[books.reserve(home)], OrderReserved)


def test_order_is_not_started_without_a_second_record():
    books = Books(n_vms=2)
    home, second = books.holders()
    books.down.add(second)
    name = books.reserve(home)
    assert certainty(books.replies[name]) == NOT_RUN


def test_next_vm_takes_the_second_record_when_one_is_down():
    books = Books()
    home, second, third = books.holders()[:3]
    books.down.add(second)
    name = books.reserve(home)
    assert isinstance(books.replies[name], OrderReserved)
    assert len(books.books[third]) == 1


@pytest.mark.parametrize("is_settled", [False, True])
def test_home_crash_after_the_records_never_runs_the_order_again(is_settled):
    books = Books()
    home = books.holders()[0]
    books.reserve(home)
    if is_settled:
        books.settle(home, Answer(200, "receipt"))
    books.crash(home)
    new_home = books.holders()[0]
    reply = books.replies[books.reserve(new_home)]
    if is_settled:
        assert reply == OrderCompleted(Answer(200, "receipt"))
    else:
        assert certainty(reply) == OUTCOME_UNKNOWN


def test_home_crash_before_the_records_lets_a_resend_run():
    books = Books()
    home, second = books.holders()[:2]
    books.down.add(home)
    books.adopt(books.view.without([home], is_clean=False))
    reply = books.replies[books.reserve(books.holders()[0])]
    assert isinstance(reply, OrderReserved)


def test_second_crash_is_made_good_by_a_copy_to_the_next():
    books = Books()
    home, second = books.holders()[:2]
    books.reserve(home)
    books.settle(home, Answer(200, "receipt"))
    books.crash(second)
    books.crash(books.holders()[0])
    reply = books.replies[books.reserve(books.holders()[0])]
    assert reply == OrderCompleted(Answer(200, "receipt"))


def test_both_holders_lost_is_answered_unknown_unless_it_is_a_first_attempt():
    books = Books(n_vms=6)
    home, second = books.holders()[:2]
    books.reserve(home)
    books.crash(home, second)
    new_home = books.holders()[0]
    assert certainty(books.replies[books.reserve(new_home)]) == OUTCOME_UNKNOWN
    name = books.reserve(new_home, is_first_attempt=True)
    assert isinstance(books.replies[name], OrderReserved)


def test_vm_that_joins_after_a_loss_does_not_claim_to_know():
    books = Books(n_vms=6)
    home, second = books.holders()[:2]
    books.reserve(home)
    books.crash(home, second)
    for i in range(40):
        books.adopt(books.view.with_member(Member(f"new{i}", "", "", f"fd{i % 3}")))
        if books.holders()[0].startswith("new"):
            break
    assert (
        certainty(books.replies[books.reserve(books.holders()[0])]) == OUTCOME_UNKNOWN
    )


def test_planned_exit_moves_the_records():
    books = Books()
    home = books.holders()[0]
    books.reserve(home)
    books.settle(home, Answer(200, "receipt"))
    leaving = books.view.members[home].with_state("leaving")
    books.adopt(books.view.with_member(leaving))
    books.adopt(books.view.without([home], is_clean=True))
    reply = books.replies[books.reserve(books.holders()[0])]
    assert reply == OrderCompleted(Answer(200, "receipt"))


def test_order_running_at_a_leaving_home_answers_resends_at_the_new_home():
    books = Books()
    home = books.holders()[0]
    books.reserve(home)
    leaving = books.view.members[home].with_state("leaving")
    books.adopt(books.view.with_member(leaving))
    name = books.reserve(books.holders()[0])
    assert name not in books.replies
    books.settle(home, Answer(200, "receipt"))
    assert books.replies[name] == OrderCompleted(Answer(200, "receipt"))


def test_unknown_key_waits_until_every_copy_has_come_then_ends_at_its_deadline():
    books = Books()
    silent = next(
        name for name in books.view.members if name not in books.holders()[:2]
    )
    books.down.add(silent)
    joined = books.view.with_member(Member("new", "", "", "fd1"))
    books.adopt(joined)
    home = books.holders()[0]
    name = books.reserve(home)
    assert name not in books.replies
    out = books.books[home].tick(books.now_ms + DEADLINE_MS)
    books.deliver([(home, m) for m in out])
    assert certainty(books.replies[name]) == OUTCOME_UNKNOWN


def test_outcomes_are_forgotten_after_the_window():
    books = Books()
    home = books.holders()[0]
    books.reserve(home)
    books.settle(home, Answer(200, "receipt"))
    book = books.books[home]
    book.tick(book.retention_ms - 1.0)
    assert len(book) == 1
    book.tick(book.retention_ms + 1.0)
    assert len(book) == 0
