"""Random faults on a cell, alone and together: no target gets more than its slots."""

from hornbeamstand_core.controllers.stopping import RUNNING
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from replay.cell import Cell
from replay.world import World

from .cells import make_configuration

N_VMS_MAX = 7
FOREVER_MS = 1e9
# Time in which a cell recovers from all faults: VMs rejoin, crashed members are removed
# and the longest of their requests end.
HEAL_MS = 12_000.0


class CellMachine(RuleBasedStateMachine):
    """Faults in any order, under steady load."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.cell = Cell(World(), make_configuration(), 4, seed)
        self.cell.load("service", 10.0, FOREVER_MS)
        self.cell.world.run_until(3000.0)
        self.version = 1

    def pick(self, index, vms):
        return vms[index % len(vms)]

    @rule(length_ms=st.sampled_from([20.0, 150.0, 600.0, 1500.0]))
    def wait(self, length_ms):
        self.cell.world.run_until(self.cell.world.now_ms + length_ms)

    @rule(index=st.integers(0, 9))
    def pause(self, index):
        self.pick(index, self.cell.live_vms()).is_paused = True

    @precondition(lambda self: any(vm.is_paused for vm in self.cell.live_vms()))
    @rule(index=st.integers(0, 9))
    def resume(self, index):
        paused = [vm for vm in self.cell.live_vms() if vm.is_paused]
        self.pick(index, paused).resume()

    @precondition(lambda self: len(self.cell.live_vms()) > 2)
    @rule(index=st.integers(0, 9))
    def crash(self, index):
        self.pick(index, self.cell.live_vms()).is_crashed = True

    @precondition(lambda self: len(self.cell.vms) < N_VMS_MAX)
    @rule()
    def join(self):
        self.cell.start_vm()

    @precondition(lambda self: len(self.cell.live_vms()) > 2)
    @rule(index=st.integers(0, 9))
    def planned_stop(self, index):
        vm = self.pick(index, self.cell.live_vms())
        self.cell.stop_vm(vm)

    @rule(one=st.integers(0, 9), other=st.integers(0, 9))
    def cut(self, one, other):
        vms = self.cell.vms
        pair = {self.pick(one, vms).member_id, self.pick(other, vms).member_id}
        self.cell.cuts.add(frozenset(pair))

    @rule()
    def heal(self):
        self.cell.cuts.clear()

    @rule(is_up=st.booleans())
    def set_platform(self, is_up):
        self.cell.platform.is_up = is_up

    @rule()
    def lose_an_answer(self):
        self.cell.platform.n_lost_answers += 1

    @rule(share=st.sampled_from([0.0, 0.2, 0.5]))
    def lose_datagrams(self, share):
        self.cell.loss_share = share

    @rule(out=st.sampled_from([(), ("fd0",), ("fd1", "fd2")]), size=st.integers(1, 3))
    def publish(self, out, size):
        self.version += 1
        configuration = make_configuration(version=self.version, out=out)
        configuration.services["service"].serving_set_size = size
        self.cell.publish(configuration)

    @invariant()
    def never_beyond_slots(self):
        if hasattr(self, "cell"):
            assert self.cell.n_overrun() == 0

    def teardown(self):
        if not hasattr(self, "cell"):
            return
        self.heal()
        self.cell.loss_share = 0.0
        self.cell.platform.is_up = True
        for vm in self.cell.live_vms():
            if vm.is_paused:
                vm.resume()
        has_majority = self.has_majority()
        self.cell.publish(make_configuration(version=self.version + 1))
        self.cell.world.run_until(self.cell.world.now_ms + HEAL_MS)
        assert self.cell.n_overrun() == 0
        if has_majority:
            assert self.cell.is_settled()

    def has_majority(self):
        """Tell whether the VMs that will stay are a majority of the view.

        Without one nobody may be removed: a minority can't tell a crash of the
        others from a cut.
        """
        view = self.cell.platform.view
        staying = {
            vm.member_id
            for vm in self.cell.live_vms()
            if vm.node.stopping.phase == RUNNING
        }
        n_staying = len(staying & set(view.members))
        return n_staying > 0 and n_staying >= view.n_majority


CellMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestCellMachine = CellMachine.TestCase
