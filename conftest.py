"""Settings of the property tests, a fixed share of cases or new ones, and fixtures."""

import gc
from contextlib import ExitStack

import pytest
from hypothesis import HealthCheck, settings

# Number of cases of each property test in ``make test``, the same ones in each run.
N_EXAMPLES = 200
# Number of cases of each property test in one round of ``make fuzz``.
N_FUZZ_EXAMPLES = 3000
SLOW_STARTS = [HealthCheck.too_slow, HealthCheck.function_scoped_fixture]

settings.register_profile(
    "fixed",
    derandomize=True,
    max_examples=N_EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=SLOW_STARTS,
)
settings.register_profile(
    "fuzz",
    max_examples=N_FUZZ_EXAMPLES,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=SLOW_STARTS,
)
settings.load_profile("fixed")


def pytest_configure(config):
    """Declare the mark of the tests that ``make fuzz`` runs with new cases."""
    config.addinivalue_line("markers", "fuzz: a property test that `make fuzz` runs")


@pytest.fixture
def stack():
    """An exit stack that is closed at the end of the test."""
    with ExitStack() as exit_stack:
        yield exit_stack


@pytest.fixture
def no_collection():
    """Turn the garbage collector off: what is freed is freed by its last reference."""
    gc.disable()
    yield
    gc.enable()
