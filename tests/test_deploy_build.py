"""The deploy file's build: it may run beside starts and running processes."""

import os
import shutil
import subprocess
import sys
import sysconfig
import time
from importlib.util import find_spec, module_from_spec, spec_from_file_location
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SPEC = spec_from_file_location("deploy_build", ROOT / "deploy" / "build.py")
deploy_build = module_from_spec(SPEC)
SPEC.loader.exec_module(deploy_build)

N_STARTS = 12
BY_PATH = ["target/deps/hornbeamstand_platform/__main__.py"]
BY_NAME = ["-m", "hornbeamstand_platform"]
ENTRY_POINT = find_spec("hornbeamstand_platform.__main__").origin
LATE_START = (
    "def run_process(*args):\n"
    "    print('started', flush=True)\n"
    "    input()\n"
    "    from hornbeamstand_entry.late import VALUE\n"
    "    from hornbeamstand_platform.late import VALUE as OWN_VALUE\n"
    "    print(VALUE, OWN_VALUE)\n"
)


class Checkout:
    """A repository with small packages, whose dependencies are one empty module."""

    def __init__(self, root):
        self.root = root
        self.deps = root / "target" / "deps"
        self.entry = root / "packages" / "entry" / "hornbeamstand_entry"
        self.platform = root / "platform" / "hornbeamstand_platform"
        self.n_installs = 0
        self.write(root / "deploy" / "requirements.txt", "dependency\n")

    def write(self, path, text=""):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)

    def add_small_packages(self):
        for package in (self.entry, self.platform):
            self.write(package / "__init__.py")
            self.write(package / "late.py", "VALUE = 1\n")
        self.write(self.entry / "life" / "__init__.py")
        inherited = find_spec("hornbeamstand_entry.life.inherited").origin
        shutil.copy(inherited, self.entry / "life")
        shutil.copy(ENTRY_POINT, self.platform)
        self.write(self.platform / "start.py", LATE_START)

    def change(self, value):
        for package in (self.entry, self.platform):
            self.write(package / "late.py", f"VALUE = {value}\n")

    def install(self, requirements, folder):
        self.n_installs += 1
        self.write(folder / "dependency.py")

    def build(self):
        deploy_build.build(self.root, self.install)

    def launch(self, words, **variables):
        path = os.pathsep.join([str(self.deps), sysconfig.get_path("purelib")])
        return subprocess.Popen(
            [sys.executable, "-S", "-P", *words],
            cwd=self.root,
            env={"PYTHONPATH": path, **variables},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def snapshot(self):
        return {
            str(path): (path.lstat().st_ino, path.lstat().st_mtime_ns)
            for path in self.deps.rglob("*")
        }

    def names(self, prefix):
        return {path.name for path in self.deps.glob(f"{prefix}*")}

    def in_place(self):
        return deploy_build.find_in_place(self.deps)


@pytest.fixture
def checkout(tmp_path):
    made = Checkout(tmp_path / "checkout")
    made.add_small_packages()
    return made


# Builds again and again, from other sources each time. It is a process of its own: an
# earlier test may have replaced the threads of this one by greenlets.
BUILDER = """
import sys, time
from pathlib import Path
sys.path.insert(0, sys.argv[1])
from build import build
root, module, stop = map(Path, sys.argv[2:])
while not stop.exists():
    module.write_text(f"TIME_NS = {time.time_ns()}\\n")
    build(root)
"""


def start_builder(checkout, module, stop):
    """Start a process that builds until the file ``stop`` exists."""
    arguments = [ROOT / "deploy", checkout.root, module, stop]
    return subprocess.Popen([sys.executable, "-c", BUILDER, *map(str, arguments)])


def test_starts_beside_builds_find_their_modules(tmp_path):
    """Guards against a build that removes what a start is about to import."""
    checkout = Checkout(tmp_path / "checkout")
    for pattern in deploy_build.PACKAGE_PATTERNS:
        for package in ROOT.glob(pattern):
            shutil.copytree(package, checkout.root / package.relative_to(ROOT))
    checkout.build()
    stop = tmp_path / "stop"
    builders = [
        start_builder(checkout, checkout.entry / f"changed_{i}.py", stop)
        for i in range(2)
    ]
    try:
        for i in range(N_STARTS):
            process = checkout.launch(
                (BY_PATH, BY_NAME)[i % 2], HORNBEAMSTAND_NODE_FILE="/nonexistent"
            )
            first_line = process.stderr.readline()
            process.terminate()
            _, rest = process.communicate()
            assert (process.returncode, first_line[:6]) == (0, "error:"), rest
    finally:
        stop.touch()
        statuses = [builder.wait() for builder in builders]
    assert statuses == [0, 0]
    assert len(checkout.names("build-")) > 2
    assert checkout.names("partial-") == set()


def test_a_build_of_the_same_sources_changes_nothing(checkout):
    checkout.build()
    before = checkout.snapshot()
    checkout.build()
    assert checkout.snapshot() == before
    checkout.change(2)
    checkout.build()
    assert checkout.snapshot() != before
    assert checkout.n_installs == 1


@pytest.mark.parametrize("words", [BY_PATH, BY_NAME])
def test_a_process_imports_late_from_the_build_that_it_started(checkout, words):
    """Guards against modules of two builds in one process."""
    checkout.build()
    with checkout.launch(words) as process:
        assert process.stdout.readline() == "started\n"
        checkout.change(2)
        checkout.build()
        assert process.communicate("\n") == ("1 1\n", "")


def test_bytecode_is_used_and_belongs_to_its_source(checkout):
    """Guards against starts that compile every module in a read-only folder."""
    checkout.build()
    folder = checkout.in_place()
    cached = folder / "hornbeamstand_entry" / "__pycache__"
    before = {path: path.stat().st_mtime_ns for path in cached.iterdir()}
    assert before
    os.utime(folder / "hornbeamstand_entry" / "late.py", (1, 1))
    with checkout.launch(BY_PATH) as process:
        assert process.communicate("\n") == ("started\n1 1\n", "")
    assert {path: path.stat().st_mtime_ns for path in cached.iterdir()} == before


def break_off(requirements, folder):
    (folder / "half.py").touch()
    raise KeyboardInterrupt


def test_a_build_that_was_broken_off_is_never_used(checkout):
    checkout.build()
    first = checkout.in_place()
    checkout.write(checkout.root / "deploy" / "requirements.txt", "another\n")
    with pytest.raises(KeyboardInterrupt):
        deploy_build.build(checkout.root, break_off)
    assert checkout.in_place() == first
    assert len(checkout.names("partial-")) == 1
    checkout.build()
    assert checkout.in_place() != first
    assert checkout.names("partial-") == set()
    assert not (checkout.in_place() / "half.py").exists()


def test_a_build_that_has_lost_a_package_is_made_again(checkout):
    """Guards against starts that fail until the sources change."""
    checkout.build()
    shutil.rmtree(checkout.in_place() / "hornbeamstand_entry")
    checkout.build()
    with checkout.launch(BY_PATH) as process:
        assert process.communicate("\n") == ("started\n1 1\n", "")


def test_what_is_built_can_be_run_by_other_users(checkout):
    mask = os.umask(0o077)
    try:
        checkout.build()
    finally:
        os.umask(mask)
    modes = [path.stat().st_mode for path in checkout.in_place().rglob("*.py")]
    assert checkout.in_place().stat().st_mode & 0o055 == 0o055
    assert all(mode & 0o044 == 0o044 for mode in modes)


def test_a_source_that_cannot_be_compiled_changes_nothing_in_place(checkout):
    checkout.build()
    first = checkout.in_place()
    checkout.change("(")
    with pytest.raises(RuntimeError, match="can't be compiled"):
        checkout.build()
    assert checkout.in_place() == first


def test_what_another_kind_of_machine_built_is_not_used(checkout, monkeypatch):
    """Guards against extension modules of another processor."""
    checkout.build()
    first = checkout.in_place()
    monkeypatch.setattr(sysconfig, "get_config_var", lambda name: "cpython-311-other")
    checkout.build()
    assert checkout.in_place() != first
    assert checkout.n_installs == 2


def test_packages_of_the_earlier_layout_are_not_imported(checkout):
    """Guards against a build over a plain folder of packages."""
    for name in ("hornbeamstand_entry", "hornbeamstand_platform"):
        checkout.write(checkout.deps / name / "__init__.py", "raise ImportError\n")
    checkout.build()
    for words in (BY_PATH, BY_NAME):
        with checkout.launch(words) as process:
            assert process.communicate("\n") == ("started\n1 1\n", "")


def test_builds_are_kept_while_processes_may_need_them(checkout):
    folders = []
    for value in range(4):
        checkout.change(value)
        checkout.build()
        folders.append(checkout.in_place())
    assert all(folder.exists() for folder in folders)
    old_s = time.time() - deploy_build.KEEP_S - 60.0
    for i, folder in enumerate(folders):
        os.utime(folder, (old_s + i, old_s + i))
    checkout.build()
    assert [folder.exists() for folder in folders] == [False, False, True, True]
    checkout.change(2)
    checkout.build()
    assert checkout.in_place() == folders[2]
